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

constexpr std::size_t kMostCases = 5;
constexpr std::size_t kMostJobsTraced = 2;
constexpr std::size_t kMostLines = 40;

// Of all daemons, in the order of their times.
auto LinesOf(const std::string& job, const std::string& folder)
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
  // Each line begins with its time.
  std::sort(lines.begin(), lines.end());
  lines.resize(std::min(lines.size(), kMostLines));
  return lines;
}

auto CasesOf(Promise promise, const std::vector<Broken>& all)
    -> std::vector<Broken> {
  std::vector<Broken> cases;
  for (const auto& broken : all) {
    if (broken.promise == promise) {
      cases.push_back(broken);
    }
  }
  return cases;
}

auto CaseLine(const Broken& item) -> std::string {
  const auto at =
      std::chrono::duration_cast<std::chrono::milliseconds>(item.at);
  return absl::StrFormat("  %6d ms, job %s: %s\n", at.count(), item.job,
                         item.what);
}

auto DescribeCases(const std::vector<Broken>& cases, const std::string& folder)
    -> std::string {
  std::string text;
  std::set<std::string> traced;
  for (std::size_t i = 0; i < std::min(cases.size(), kMostCases); ++i) {
    const auto& item = cases[i];
    text += CaseLine(item);
    if (item.job.empty() || traced.size() == kMostJobsTraced ||
        !traced.insert(item.job).second) {
      continue;
    }
    for (const auto& line : LinesOf(item.job, folder)) {
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
  const auto broken = checks.broken();
  for (int i = 0; i <= static_cast<int>(Promise::kAlive); ++i) {
    const auto promise = static_cast<Promise>(i);
    const auto cases = CasesOf(promise, broken);
    absl::StrAppendFormat(
        &text, "%-10s %s, %d cases, looked at %d times\n", PromiseName(promise),
        cases.empty() ? "kept" : "BROKEN", cases.size(), checks.looks(promise));
    absl::StrAppend(&text, DescribeCases(cases, folder));
  }
  return text;
}

auto CasesText(const Checks& checks) -> std::string {
  std::string text;
  for (const auto& item : checks.broken()) {
    absl::StrAppend(&text, PromiseName(item.promise), CaseLine(item));
  }
  return text;
}

}  // namespace rhubarbhaven::soak
