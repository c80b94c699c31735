#include "Daemon/job_service.h"

#include <utility>

namespace rhubarbhaven {

auto OnThread(const jobs::KeyedLogPort& port, DutyThread* duty)
    -> jobs::KeyedLogPort {
  jobs::KeyedLogPort on_thread;
  on_thread.append = [port, duty](
                         const jobs::AppendCall& call,
                         const jobs::KeyedLogPort::OnAppend& done) -> void {
    port.append(
        call,
        [duty, done](TimePoint, const jobs::AppendResult& result) -> void {
          duty->PostOrWait(
              [done, result](TimePoint now) -> void { done(now, result); });
        });
  };
  on_thread.read = [port, duty](
                       const jobs::ReadCall& call,
                       const jobs::KeyedLogPort::OnRead& done) -> void {
    port.read(call, [duty, done](TimePoint, jobs::ReadResult result) -> void {
      duty->PostOrWait([done, result = std::move(result)](
                           TimePoint now) -> void { done(now, result); });
    });
  };
  on_thread.newest = [port, duty](
                         const jobs::NewestCall& call,
                         const jobs::KeyedLogPort::OnNewest& done) -> void {
    port.newest(
        call, [duty, done](TimePoint, jobs::NewestResult result) -> void {
          duty->PostOrWait([done, result = std::move(result)](
                               TimePoint now) -> void { done(now, result); });
        });
  };
  return on_thread;
}

JobService::JobService(const jobs::EntryOptions& options,
                       jobs::EntryHooks hooks,
                       Metrics* metrics)
    : duty_({.on_tick = [this](TimePoint now) -> void { Tick(now); },
             .next_wake = [this]() -> TimePoint {
               return decisions_.next_wake();
             }}),
      decisions_(options, WithLogOnThread(std::move(hooks)), metrics) {}

auto JobService::Start() -> void {
  duty_.Start();
  duty_.PostOrWait([this](TimePoint) -> void { decisions_.Start(); });
}

auto JobService::Call(jobs::JobCall call, jobs::JobResponder respond) -> bool {
  return duty_.Post([this, call = std::move(call),
                     respond = std::move(respond)](TimePoint now) -> void {
    decisions_.Call(now, call, respond);
  });
}

auto JobService::OnReport(const std::string& agent, jobs::AgentReport report)
    -> void {
  duty_.PostOrWait(
      [this, agent, report = std::move(report)](TimePoint now) mutable -> void {
        decisions_.OnReport(now, agent, std::move(report));
      });
}

auto JobService::Release() -> void {
  duty_.PostOrWait([this](TimePoint now) -> void {
    decisions_.Release(now);
    ready_ = false;
  });
}

auto JobService::Stop() -> void {
  duty_.Stop();
}

auto JobService::Tick(TimePoint now) -> void {
  decisions_.Tick(now);
  ready_ = decisions_.ready();
}

auto JobService::WithLogOnThread(jobs::EntryHooks hooks) -> jobs::EntryHooks {
  hooks.log = OnThread(hooks.log, &duty_);
  hooks.ask_advice = [this, ask = hooks.ask_advice](
                         const jobs::AdviceCall& call,
                         const auto& done) -> void {
    ask(call, [this, done](TimePoint, jobs::AdviceResult result) -> void {
      duty_.PostOrWait([done, result = std::move(result)](
                           TimePoint now) -> void { done(now, result); });
    });
  };
  return hooks;
}

}  // namespace rhubarbhaven
