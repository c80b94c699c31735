#include "Daemon/router_thread.h"

#include <utility>

namespace rhubarbhaven {

RouterThread::RouterThread(RouterOptions options,
                           RouterHooks hooks,
                           Metrics* metrics)
    : router_(std::move(options)),
      hooks_(std::move(hooks)),
      metrics_(metrics),
      thread_({.on_tick = [this](TimePoint now) -> void {
                 ExecuteActions(now, router_.OnTick(now));
               },
               .next_wake = [this]() -> TimePoint {
                 return router_.next_wake();
               }}) {}

auto RouterThread::Submit(CallerRequest request, OnReply on_reply) -> bool {
  return thread_.Post([this, request = std::move(request),
                       on_reply = std::move(on_reply)](TimePoint now) -> void {
    pending_[request.ticket] = {on_reply, now};
    ExecuteActions(now, router_.OnRequest(now, request));
  });
}

auto RouterThread::OnMessage(std::string agent, schema::Envelope message)
    -> void {
  Post([this, agent = std::move(agent),
        message = std::move(message)](TimePoint now) -> void {
    ExecuteActions(now, router_.OnMessage(now, agent, message));
  });
}

auto RouterThread::OnUnsent(std::string agent, schema::Envelope message)
    -> void {
  Post([this, agent = std::move(agent),
        message = std::move(message)](TimePoint now) -> void {
    ExecuteActions(now, router_.OnUnsent(now, agent, message));
  });
}

auto RouterThread::OnIdempotencyRecord(TimePoint now,
                                       uint64_t offset,
                                       const schema::LogRecord& record)
    -> void {
  ExecuteActions(now, router_.OnIdempotencyRecord(now, offset, record));
}

auto RouterThread::OnIdempotencyStream(TimePoint now, bool available) -> void {
  ExecuteActions(now, router_.OnIdempotencyStream(now, available));
}

auto RouterThread::OnAppendFailed(TimePoint now, const schema::LogEntry& entry)
    -> void {
  ExecuteActions(now, router_.OnAppendFailed(now, entry));
}

auto RouterThread::SetServices(std::vector<schema::VersionedObject> objects)
    -> void {
  thread_.PostOrWait(
      [this, objects = std::move(objects)](TimePoint now) -> void {
        ExecuteActions(now, router_.SetServices(now, objects));
      });
}

auto RouterThread::Endpoints(
    std::function<auto(std::vector<EndpointView>)->void> on_endpoints) -> void {
  thread_.PostOrWait(
      [this, on_endpoints = std::move(on_endpoints)](TimePoint) -> void {
        on_endpoints(router_.endpoints());
      });
}

auto RouterThread::Post(EventLoopThread::Callback callback) -> void {
  if (!thread_.Post(std::move(callback))) {
    metrics_->AddReason("dropped", schema::RING_FULL);
  }
}

auto RouterThread::ExecuteActions(TimePoint now, RouterActions actions)
    -> void {
  for (auto& action : actions) {
    std::visit([this, now](auto& one) -> void { ExecuteAction(now, one); },
               action);
  }
  metrics_->SetGauge("rhubarbhaven_pending_requests",
                     static_cast<double>(router_.pending()));
}

auto RouterThread::ExecuteAction(TimePoint now, const CallerReply& reply)
    -> void {
  auto node = pending_.extract(reply.ticket);
  metrics_->Add("rhubarbhaven_replies_total{verdict=\"" +
                VerdictName(reply.verdict) + "\"}");
  if (!node.empty()) {
    metrics_->RecordLatency("rhubarbhaven_request_seconds",
                            now - node.mapped().submitted_at);
    node.mapped().on_reply(reply);
  }
}

auto RouterThread::ExecuteAction(TimePoint now, SendToAgent& send) -> void {
  if (!hooks_.send(send.agent, send.message)) {
    metrics_->AddReason("dropped", schema::RING_FULL);
    ExecuteActions(now, router_.OnUnsent(now, send.agent, send.message));
  }
}

auto RouterThread::ExecuteAction(TimePoint now, AppendIdempotencyEntry& append)
    -> void {
  if (!hooks_.append_idempotency_entry(append.entry)) {
    ExecuteActions(now, router_.OnAppendFailed(now, append.entry));
  }
}

auto RouterThread::ExecuteAction(TimePoint /*now*/, const CountReason& count)
    -> void {
  metrics_->AddReason(count.event, count.reason);
}

}  // namespace rhubarbhaven
