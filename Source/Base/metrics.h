#ifndef RHUBARBHAVEN_BASE_METRICS_H_
#define RHUBARBHAVEN_BASE_METRICS_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "Base/time.h"
#include "Schema/schema.h"

namespace rhubarbhaven {

// Counters, gauges and latency histograms of one process, exported in the
// plain-text exposition format. Thread-safe.
class Metrics {
 public:
  Metrics();

  auto Add(const std::string& name, uint64_t amount = 1) -> void;
  // Increments the counter of one rejection or retry reason:
  // rhubarbhaven_<event>_total{reason="overloaded"}.
  auto AddReason(const std::string& event, schema::Reason reason) -> void;
  auto SetGauge(const std::string& name, double value) -> void;
  auto RecordLatency(const std::string& name, Duration latency) -> void;

  auto counter(const std::string& name) const -> uint64_t;
  auto Exposition() const -> std::string;

 private:
  using LatencyAxis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using LatencyHistogram =
      decltype(boost::histogram::make_histogram(LatencyAxis()));
  struct Latency {
    LatencyHistogram histogram;
    double sum_s = 0;
    uint64_t count = 0;
  };

  mutable std::mutex mutex_;
  std::map<std::string, uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, Latency> latencies_;
};

// Name of the reason in lower case, as used in counters and headers.
auto ReasonName(schema::Reason reason) -> std::string;
// "answered", "not_run" or "may_have_run".
auto VerdictName(schema::Verdict verdict) -> std::string;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_METRICS_H_
