#include "Daemon/job_service.h"

#include <utility>

namespace rhubarbhaven {

namespace {

auto OnThread(const jobs::OnTransferProgress& on_progress,
              EventLoopThread* thread) -> jobs::OnTransferProgress {
  if (!on_progress) {
    return nullptr;
  }
  return [on_progress, thread](TimePoint, std::size_t bytes) -> void {
    thread->PostOrWait([on_progress, bytes](TimePoint now) -> void {
      on_progress(now, bytes);
    });
  };
}

}  // namespace

auto OnThread(const jobs::KeyedLogPort& port, EventLoopThread* thread)
    -> jobs::KeyedLogPort {
  jobs::KeyedLogPort on_thread;
  on_thread.append = [port, thread](
                         const jobs::AppendCall& call,
                         const jobs::KeyedLogPort::OnAppend& done) -> void {
    port.append(
        call,
        [thread, done](TimePoint, const jobs::AppendResult& result) -> void {
          thread->PostOrWait(
              [done, result](TimePoint now) -> void { done(now, result); });
        });
  };
  on_thread.read = [port, thread](
                       jobs::ReadCall call,
                       const jobs::KeyedLogPort::OnRead& done) -> void {
    call.on_progress = OnThread(call.on_progress, thread);
    port.read(call, [thread, done](TimePoint, jobs::ReadResult result) -> void {
      thread->PostOrWait([done, result = std::move(result)](
                             TimePoint now) -> void { done(now, result); });
    });
  };
  on_thread.newest = [port, thread](
                         jobs::NewestCall call,
                         const jobs::KeyedLogPort::OnNewest& done) -> void {
    call.on_progress = OnThread(call.on_progress, thread);
    port.newest(
        call, [thread, done](TimePoint, jobs::NewestResult result) -> void {
          thread->PostOrWait([done, result = std::move(result)](
                                 TimePoint now) -> void { done(now, result); });
        });
  };
  return on_thread;
}

JobService::JobService(const jobs::EntryOptions& options,
                       jobs::EntryHooks hooks,
                       Metrics* metrics)
    : log_("jobs"),
      thread_({.on_tick = [this](TimePoint now) -> void { Tick(now); },
               .next_wake = [this]() -> TimePoint {
                 return decisions_.next_wake();
               },
               .on_stall = [this](const Stall& stall) -> void {
                 LogStall(log_, stall);
               }}),
      decisions_(options, WithLogOnThread(std::move(hooks)), metrics) {}

auto JobService::Start() -> void {
  thread_.Start();
  thread_.PostOrWait([this](TimePoint now) -> void { decisions_.Start(now); });
}

auto JobService::Call(jobs::JobCall call, jobs::JobResponder respond) -> bool {
  return thread_.Post([this, call = std::move(call),
                       respond = std::move(respond)](TimePoint now) -> void {
    decisions_.Call(now, call, respond);
  });
}

auto JobService::OnReport(const std::string& agent, jobs::AgentReport report)
    -> void {
  thread_.PostOrWait(
      [this, agent, report = std::move(report)](TimePoint now) mutable -> void {
        decisions_.OnReport(now, agent, std::move(report));
      });
}

auto JobService::Release() -> void {
  thread_.PostOrWait([this](TimePoint now) -> void {
    decisions_.Release(now);
    ready_ = false;
  });
}

auto JobService::Stop() -> void {
  thread_.Stop();
}

auto JobService::Tick(TimePoint now) -> void {
  decisions_.Tick(now);
  ready_ = decisions_.ready();
}

auto JobService::WithLogOnThread(jobs::EntryHooks hooks) -> jobs::EntryHooks {
  hooks.log = OnThread(hooks.log, &thread_);
  hooks.ask_advice = [this, ask = hooks.ask_advice](
                         const jobs::AdviceCall& call,
                         const auto& done) -> void {
    ask(call, [this, done](TimePoint, jobs::AdviceResult result) -> void {
      thread_.PostOrWait([done, result = std::move(result)](
                             TimePoint now) -> void { done(now, result); });
    });
  };
  return hooks;
}

}  // namespace rhubarbhaven
