#ifndef RHUBARBHAVEN_CLIENT_OPTIONS_H_
#define RHUBARBHAVEN_CLIENT_OPTIONS_H_

#include <absl/status/status.h>
#include <gflags/gflags_declare.h>

#include <string>
#include <vector>

// Options of all commands; which command takes which is in its `Command`.
DECLARE_string(log_url);
DECLARE_string(entry);
DECLARE_string(expect);
DECLARE_string(partner);
DECLARE_string(as);
DECLARE_uint64(incarnation);
DECLARE_uint32(timeout_s);
DECLARE_bool(json);
DECLARE_bool(wait);
DECLARE_bool(prune);
DECLARE_bool(undo);
DECLARE_bool(help_command);

namespace rhubarbhaven {

// Options that every command takes.
auto GlobalOptions() -> const std::vector<std::string>&;

// Sets the flags that stand in `arguments` and returns the rest. Only those
// named in `allowed` and the global ones are known. "--no-" and "--no" before
// a yes-or-no option turn it off.
auto ParseOptions(const std::vector<std::string>& arguments,
                  const std::vector<std::string>& allowed,
                  std::vector<std::string>* positional) -> absl::Status;

// One line for each option: name, default and description.
auto DescribeOptions(const std::vector<std::string>& names) -> std::string;

// The parts of a list option, which were given one by one or with commas.
auto ListOption(const std::string& value) -> std::vector<std::string>;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_OPTIONS_H_
