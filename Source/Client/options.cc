#include "Client/options.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>

DEFINE_string(log_url,
              "",
              "Base URL of the platform's log; without it the environment "
              "variable RHUBARBHAVEN_LOG_URL is taken.");
DEFINE_string(entry,
              "",
              "Base URL of an entry; may be repeated or hold several with "
              "commas. Without it RHUBARBHAVEN_ENTRIES is taken.");
DEFINE_string(expect,
              "",
              "KIND/NAME=VERSION: refuse unless the object has this version; "
              "may be repeated.");
DEFINE_string(partner, "", "Show only what belongs to this partner.");
DEFINE_string(as, "", "Operator's name that is written beside the change.");
DEFINE_uint64(incarnation, 0, "Incarnation of the instance that is gone.");
DEFINE_uint32(timeout_s, 30, "Longest time for the whole command, in seconds.");
DEFINE_bool(json, false, "Write JSON for scripts.");
DEFINE_bool(wait, false, "Wait until it is in force everywhere.");
DEFINE_bool(prune, false, "Remove objects that the file does not list.");
DEFINE_bool(undo, false, "Take the instance back into use.");
DEFINE_bool(help_command, false, "Describe the command.");

namespace rhubarbhaven {
namespace {

// gflags defines its own --help, which lists every flag of the program.
constexpr char kHelp[] = "help";
constexpr char kHelpFlag[] = "help_command";

auto IsList(const std::string& name) -> bool {
  return name == "entry" || name == "expect";
}

auto FlagName(const std::string& name) -> std::string {
  if (name == kHelp || name == "h") {
    return kHelpFlag;
  }
  return absl::StrReplaceAll(name, {{"-", "_"}});
}

auto DisplayName(const std::string& flag) -> std::string {
  return flag == kHelpFlag ? kHelp : absl::StrReplaceAll(flag, {{"_", "-"}});
}

auto Usage(const std::string& text) -> absl::Status {
  return absl::InvalidArgumentError(text);
}

auto Contains(const std::vector<std::string>& list, const std::string& name)
    -> bool {
  return std::find(list.begin(), list.end(), name) != list.end();
}

auto IsKnown(const std::vector<std::string>& allowed, const std::string& name)
    -> bool {
  return Contains(allowed, name) || Contains(GlobalOptions(), name);
}

auto TypeOf(const std::string& flag) -> std::string {
  return gflags::GetCommandLineFlagInfoOrDie(flag.c_str()).type;
}

auto SetFlag(const std::string& flag, std::string value) -> absl::Status {
  const auto info = gflags::GetCommandLineFlagInfoOrDie(flag.c_str());
  if (IsList(flag) && !info.current_value.empty()) {
    value = absl::StrCat(info.current_value, ",", value);
  }
  if (gflags::SetCommandLineOption(flag.c_str(), value.c_str()).empty()) {
    return Usage(absl::StrCat("option --", DisplayName(flag), ": found \"",
                              value, "\", allowed is a value of type ",
                              info.type));
  }
  return absl::OkStatus();
}

// Returns the Boolean option that `flag` negates with the prefix "no", or an
// empty string.
auto NegatedFlag(const std::vector<std::string>& allowed,
                 const std::string& flag) -> std::string {
  if (!absl::StartsWith(flag, "no")) {
    return "";
  }
  std::string rest = flag.substr(2);
  if (absl::StartsWith(rest, "_")) {
    rest = rest.substr(1);
  }
  return IsKnown(allowed, rest) && TypeOf(rest) == "bool" ? rest : "";
}

}  // namespace

auto GlobalOptions() -> const std::vector<std::string>& {
  static const std::vector<std::string> options = {
      "log_url", "entry", "timeout_s", "json", kHelpFlag};
  return options;
}

auto ParseOptions(const std::vector<std::string>& arguments,
                  const std::vector<std::string>& allowed,
                  std::vector<std::string>* positional) -> absl::Status {
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (argument.size() < 2 || argument[0] != '-') {
      positional->push_back(argument);
      continue;
    }
    const std::string body = argument.substr(argument[1] == '-' ? 2 : 1);
    const std::vector<std::string> parts =
        absl::StrSplit(body, absl::MaxSplits('=', 1));
    std::string flag = FlagName(parts[0]);
    std::string value = parts.size() > 1 ? parts[1] : "";
    const std::string negated = NegatedFlag(allowed, flag);
    if (!IsKnown(allowed, flag) && !negated.empty() && parts.size() == 1) {
      flag = negated;
      value = "false";
    } else if (!IsKnown(allowed, flag)) {
      return Usage(absl::StrCat("option ", argument,
                                ": is unknown to this command; --help lists "
                                "the options that it takes"));
    } else if (parts.size() == 1 && TypeOf(flag) == "bool") {
      value = "true";
    } else if (parts.size() == 1) {
      if (i + 1 == arguments.size()) {
        return Usage(
            absl::StrCat("option ", argument, ": is missing its value"));
      }
      value = arguments[++i];
    }
    auto status = SetFlag(flag, value);
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

auto DescribeOptions(const std::vector<std::string>& names) -> std::string {
  std::string text;
  for (const auto& name : names) {
    const auto info = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
    std::string shown = absl::StrCat("--", DisplayName(name));
    if (info.type != "bool") {
      absl::StrAppend(&shown, " ", info.type == "string" ? "TEXT" : "NUMBER");
    }
    shown.resize(std::max<std::size_t>(shown.size(), 22), ' ');
    absl::StrAppend(&text, "  ", shown, "  ", info.description);
    if (info.type != "bool" && info.type != "string") {
      absl::StrAppend(&text, " Default ", info.default_value, ".");
    }
    absl::StrAppend(&text, "\n");
  }
  return text;
}

auto ListOption(const std::string& value) -> std::vector<std::string> {
  return absl::StrSplit(value, ',', absl::SkipEmpty());
}

}  // namespace rhubarbhaven
