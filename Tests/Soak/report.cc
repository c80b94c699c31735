#include "Tests/Soak/report.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>

namespace rhubarbhaven::soak {
namespace {

constexpr std::size_t kMaxCases = 5;
constexpr std::size_t kMaxJobsTraced = 2;
constexpr std::size_t kMaxLines = 40;

// Returns the log lines of all daemons that contain the job's id, in the order
// of their times.
auto FindLogLines(const std::string& job, const std::string& folder)
    -> std::vector<std::string> {
  std::vector<std::string> lines;
  for (const auto& item : std::filesystem::directory_iterator(folder)) {
    if (item.path().extension() != ".log") {
      continue;
    }
    std::ifstream file(item.path());
    for (std::string line; std::getline(file, line);) {
      if (absl::StrContains(line, job)) {
        lines.push_back(line);
      }
    }
  }
  // Each line begins with its time, so this sorts by time.
  std::sort(lines.begin(), lines.end());
  lines.resize(std::min(lines.size(), kMaxLines));
  return lines;
}

auto SelectCases(Guarantee guarantee, const std::vector<Violation>& all)
    -> std::vector<Violation> {
  std::vector<Violation> cases;
  for (const auto& violation : all) {
    if (violation.guarantee == guarantee) {
      cases.push_back(violation);
    }
  }
  return cases;
}

auto CaseLine(const Violation& item) -> std::string {
  const auto at =
      std::chrono::duration_cast<std::chrono::milliseconds>(item.at);
  return absl::StrFormat("  %6d ms, job %s: %s\n", at.count(), item.job,
                         item.description);
}

auto DescribeCases(const std::vector<Violation>& cases,
                   const std::string& folder) -> std::string {
  std::string text;
  std::set<std::string> traced;
  for (std::size_t i = 0; i < std::min(cases.size(), kMaxCases); ++i) {
    const auto& item = cases[i];
    text += CaseLine(item);
    if (item.job.empty() || traced.size() == kMaxJobsTraced ||
        !traced.insert(item.job).second) {
      continue;
    }
    for (const auto& line : FindLogLines(item.job, folder)) {
      absl::StrAppend(&text, "    ", line, "\n");
    }
  }
  return text;
}

}  // namespace

auto ScheduleText(const std::vector<Fault>& schedule) -> std::string {
  std::string text;
  for (const auto& fault : schedule) {
    absl::StrAppend(&text, Describe(fault), "\n");
  }
  return text;
}

auto VerdictText(const Checks& checks, const std::string& folder)
    -> std::string {
  std::string text = checks.Summary() + "\n";
  const auto violations = checks.violations();
  for (int i = 0; i <= static_cast<int>(Guarantee::kStaysUp); ++i) {
    const auto guarantee = static_cast<Guarantee>(i);
    const auto cases = SelectCases(guarantee, violations);
    absl::StrAppendFormat(&text, "%-10s %s, %d cases, looked at %d times\n",
                          GuaranteeName(guarantee),
                          cases.empty() ? "kept" : "BROKEN", cases.size(),
                          checks.check_count(guarantee));
    absl::StrAppend(&text, DescribeCases(cases, folder));
  }
  return text;
}

auto CasesText(const Checks& checks) -> std::string {
  std::string text;
  for (const auto& item : checks.violations()) {
    absl::StrAppend(&text, GuaranteeName(item.guarantee), CaseLine(item));
  }
  return text;
}

}  // namespace rhubarbhaven::soak
