// Stand-in for the platform's append-only log, see LogStandIn. Prints
// event=listening port=N once it serves, and exits on SIGTERM or SIGINT.

#include <gflags/gflags.h>

#include "Tests/StandIns/Log/log_stand_in.h"
#include "Tests/StandIns/stand_in_process.h"

DEFINE_int32(port, 0, "Port to listen on; 0 takes any.");
DEFINE_uint64(retention_records, 0, "Records kept of each stream; 0 for all.");
DEFINE_uint64(retention_ms, 0, "How long records are kept; 0 for no limit.");

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  rhubarbhaven::BlockStopSignals();
  rhubarbhaven::LogStandInOptions options;
  options.port = static_cast<uint16_t>(FLAGS_port);
  options.retention_records = FLAGS_retention_records;
  options.retention = std::chrono::milliseconds(FLAGS_retention_ms);
  rhubarbhaven::LogStandIn log(options);
  return rhubarbhaven::ServeUntilStopped("log_stand_in", log);
}
