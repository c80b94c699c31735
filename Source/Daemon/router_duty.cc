#include "Daemon/router_duty.h"

#include <utility>

namespace rhubarbhaven {

RouterDuty::RouterDuty(RouterOptions options,
                       RouterHooks hooks,
                       Metrics* metrics)
    : router_(std::move(options)),
      hooks_(std::move(hooks)),
      metrics_(metrics),
      thread_({.on_tick = [this](TimePoint now) -> void {
                 Carry(now, router_.OnTick(now));
               },
               .next_wake = [this]() -> TimePoint {
                 return router_.next_wake();
               }}) {}

auto RouterDuty::Submit(CallerRequest request, OnReply on_reply) -> bool {
  return thread_.Post([this, request = std::move(request),
                       on_reply = std::move(on_reply)](TimePoint now) -> void {
    waiting_[request.ticket] = {on_reply, now};
    Carry(now, router_.OnRequest(now, request));
  });
}

auto RouterDuty::OnMessage(std::string agent, schema::Envelope message)
    -> void {
  Post([this, agent = std::move(agent),
        message = std::move(message)](TimePoint now) -> void {
    Carry(now, router_.OnMessage(now, agent, message));
  });
}

auto RouterDuty::OnUnsent(std::string agent, schema::Envelope message) -> void {
  Post([this, agent = std::move(agent),
        message = std::move(message)](TimePoint now) -> void {
    Carry(now, router_.OnUnsent(now, agent, message));
  });
}

auto RouterDuty::OnIdempotencyRecord(TimePoint now,
                                     uint64_t offset,
                                     const schema::LogRecord& record) -> void {
  Carry(now, router_.OnIdempotencyRecord(now, offset, record));
}

auto RouterDuty::OnIdempotencyStream(TimePoint now, bool available) -> void {
  Carry(now, router_.OnIdempotencyStream(now, available));
}

auto RouterDuty::OnAppendFailed(TimePoint now, const schema::LogEntry& entry)
    -> void {
  Carry(now, router_.OnAppendFailed(now, entry));
}

auto RouterDuty::SetServices(std::vector<schema::VersionedObject> objects)
    -> void {
  thread_.PostOrWait(
      [this, objects = std::move(objects)](TimePoint now) -> void {
        Carry(now, router_.SetServices(now, objects));
      });
}

auto RouterDuty::Endpoints(
    std::function<auto(std::vector<EndpointView>)->void> on_endpoints) -> void {
  thread_.PostOrWait(
      [this, on_endpoints = std::move(on_endpoints)](TimePoint) -> void {
        on_endpoints(router_.endpoints());
      });
}

auto RouterDuty::Post(DutyThread::Job job) -> void {
  if (!thread_.Post(std::move(job))) {
    metrics_->AddReason("dropped", schema::RING_FULL);
  }
}

auto RouterDuty::Carry(TimePoint now, RouterActions actions) -> void {
  for (auto& action : actions) {
    std::visit([this, now](auto& one) -> void { CarryOne(now, one); }, action);
  }
  metrics_->SetGauge("rhubarbhaven_pending_requests",
                     static_cast<double>(router_.pending()));
}

auto RouterDuty::CarryOne(TimePoint now, const CallerReply& reply) -> void {
  auto waiting = waiting_.extract(reply.ticket);
  metrics_->Add("rhubarbhaven_replies_total{verdict=\"" +
                VerdictName(reply.verdict) + "\"}");
  if (!waiting.empty()) {
    metrics_->RecordLatency("rhubarbhaven_request_seconds",
                            now - waiting.mapped().since);
    waiting.mapped().on_reply(reply);
  }
}

auto RouterDuty::CarryOne(TimePoint now, SendToAgent& send) -> void {
  if (!hooks_.send(send.agent, send.message)) {
    metrics_->AddReason("dropped", schema::RING_FULL);
    Carry(now, router_.OnUnsent(now, send.agent, send.message));
  }
}

auto RouterDuty::CarryOne(TimePoint now, AppendIdempotencyEntry& append)
    -> void {
  if (!hooks_.append_once(append.entry)) {
    Carry(now, router_.OnAppendFailed(now, append.entry));
  }
}

auto RouterDuty::CarryOne(TimePoint /*now*/, const CountReason& count) -> void {
  metrics_->AddReason(count.event, count.reason);
}

}  // namespace rhubarbhaven
