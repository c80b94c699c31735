#ifndef RHUBARBHAVEN_CLIENT_OPTIONS_H_
#define RHUBARBHAVEN_CLIENT_OPTIONS_H_

#include <absl/status/status.h>
#include <gflags/gflags_declare.h>

#include <string>
#include <vector>

// Options of all commands. `Command::options` lists those that a command takes.
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

// Sets the flags given in `arguments` and appends the other arguments to
// `positional`. Returns InvalidArgument for options that are neither in
// `allowed` nor global, and for invalid values. The prefixes "--no-" and "--no"
// turn a Boolean option off.
auto ParseOptions(const std::vector<std::string>& arguments,
                  const std::vector<std::string>& allowed,
                  std::vector<std::string>* positional) -> absl::Status;

// One line for each option, with its name, description and default.
auto DescribeOptions(const std::vector<std::string>& names) -> std::string;

// Splits the value of a list option at commas. Values of a repeated option have
// been joined with commas.
auto ListOption(const std::string& value) -> std::vector<std::string>;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_OPTIONS_H_
