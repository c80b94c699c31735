#include "Daemon/health_probe.h"

#include <utility>

namespace rhubarbhaven {
namespace {

constexpr std::chrono::milliseconds kInterval{500};
constexpr std::chrono::milliseconds kTimeout{1000};
// A single probe may fail for a transient reason. An endpoint that is down
// fails all of them.
constexpr int kFailuresUntilUnhealthy = 2;
constexpr uint32_t kFirstServerError = 500;

}  // namespace

HealthProbe::HealthProbe(std::string url,
                         std::function<auto(bool healthy)->void> on_change)
    : url_(std::move(url)),
      on_change_(std::move(on_change)),
      thread_({.on_tick = [this](TimePoint now) -> void { Probe(now); },
               .next_wake = [this]() -> TimePoint { return next_probe_; }}) {}

auto HealthProbe::Probe(TimePoint now) -> void {
  next_probe_ = now + kInterval;
  HttpClientRequest request;
  request.url = url_;
  request.timeout = kTimeout;
  const HttpClientAnswer answer = http_.Call(request);
  if (answer.complete && answer.http.status() < kFirstServerError) {
    failures_ = 0;
    Report(true);
  } else if (++failures_ >= kFailuresUntilUnhealthy) {
    Report(false);
  }
}

auto HealthProbe::Report(bool healthy) -> void {
  if (reported_ && healthy == healthy_) {
    return;
  }
  reported_ = true;
  healthy_ = healthy;
  on_change_(healthy);
}

}  // namespace rhubarbhaven
