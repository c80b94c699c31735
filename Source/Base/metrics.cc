#include "Base/metrics.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

namespace rhubarbhaven {
namespace {

constexpr double kLowestLatencyS = 10e-6;
constexpr double kHighestLatencyS = 60;
constexpr int kLatencyBins = 64;

// "name{labels}" -> "name".
auto FamilyName(const std::string& name) -> std::string {
  return name.substr(0, name.find('{'));
}

auto AppendFamily(std::string& text,
                  std::string& last_family,
                  const std::string& name,
                  const char* type) -> void {
  const std::string family = FamilyName(name);
  if (family != last_family) {
    absl::StrAppend(&text, "# TYPE ", family, " ", type, "\n");
    last_family = family;
  }
}

}  // namespace

Metrics::Metrics() = default;

auto Metrics::Add(const std::string& name, uint64_t amount) -> void {
  const std::lock_guard lock(mutex_);
  counters_[name] += amount;
}

auto Metrics::AddReason(const std::string& event, schema::Reason reason)
    -> void {
  Add(absl::StrCat("rhubarbhaven_", event, "_total{reason=\"",
                   ReasonName(reason), "\"}"));
}

auto Metrics::SetGauge(const std::string& name, double value) -> void {
  const std::lock_guard lock(mutex_);
  gauges_[name] = value;
}

auto Metrics::RecordLatency(const std::string& name, Duration latency) -> void {
  const double seconds = std::chrono::duration<double>(latency).count();
  const std::lock_guard lock(mutex_);
  auto found = latencies_.find(name);
  if (found == latencies_.end()) {
    Latency fresh{boost::histogram::make_histogram(LatencyAxis(
        kLatencyBins, kLowestLatencyS, kHighestLatencyS, "seconds"))};
    found = latencies_.emplace(name, std::move(fresh)).first;
  }
  found->second.histogram(seconds);
  found->second.sum_s += seconds;
  ++found->second.count;
}

auto Metrics::counter(const std::string& name) const -> uint64_t {
  const std::lock_guard lock(mutex_);
  const auto found = counters_.find(name);
  return found == counters_.end() ? 0 : found->second;
}

auto Metrics::Exposition() const -> std::string {
  const std::lock_guard lock(mutex_);
  std::string text;
  std::string family;
  for (const auto& [name, value] : counters_) {
    AppendFamily(text, family, name, "counter");
    absl::StrAppend(&text, name, " ", value, "\n");
  }
  for (const auto& [name, value] : gauges_) {
    AppendFamily(text, family, name, "gauge");
    absl::StrAppend(&text, name, " ", value, "\n");
  }
  for (const auto& [name, latency] : latencies_) {
    AppendFamily(text, family, name, "histogram");
    const auto& axis = latency.histogram.axis();
    double cumulative = latency.histogram.at(-1);
    for (int i = 0; i < axis.size(); ++i) {
      cumulative += latency.histogram.at(i);
      absl::StrAppend(&text, name, "_bucket{le=\"", axis.bin(i).upper(), "\"} ",
                      cumulative, "\n");
    }
    absl::StrAppend(&text, name, "_bucket{le=\"+Inf\"} ", latency.count, "\n");
    absl::StrAppend(&text, name, "_sum ", latency.sum_s, "\n");
    absl::StrAppend(&text, name, "_count ", latency.count, "\n");
  }
  return text;
}

auto ReasonName(schema::Reason reason) -> std::string {
  return absl::AsciiStrToLower(schema::Reason_Name(reason));
}

auto VerdictName(schema::Verdict verdict) -> std::string {
  return absl::AsciiStrToLower(schema::Verdict_Name(verdict));
}

}  // namespace rhubarbhaven
