#include "Routing/entry_router.h"

#include <utility>

#include "Routing/entry_router_impl.h"

namespace rhubarbhaven {

EntryRouter::EntryRouter(RouterOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

EntryRouter::~EntryRouter() = default;

auto EntryRouter::OnRequest(TimePoint now, CallerRequest request)
    -> RouterActions {
  impl_->OnRequest(now, std::move(request));
  return impl_->TakeActions();
}

auto EntryRouter::OnCallerDisconnected(TimePoint now, uint64_t ticket)
    -> RouterActions {
  impl_->OnCallerDisconnected(now, ticket);
  return impl_->TakeActions();
}

auto EntryRouter::OnMessage(TimePoint now,
                            const std::string& agent,
                            const schema::Envelope& message) -> RouterActions {
  switch (message.body_case()) {
    case schema::Envelope::kAnnounce:
      impl_->OnAnnounce(now, agent, message.sender_incarnation(),
                        message.announce());
      break;
    case schema::Envelope::kAnswer:
      impl_->OnAnswer(now, agent, message.sender_incarnation(),
                      message.answer());
      break;
    default:
      impl_->CountDropped(schema::MESSAGE_MALFORMED);
  }
  return impl_->TakeActions();
}

auto EntryRouter::OnUnsent(TimePoint now,
                           const std::string& agent,
                           const schema::Envelope& message) -> RouterActions {
  // A recall that was not sent is repeated by its timer.
  if (message.has_offer()) {
    impl_->OnUnsentOffer(now, agent, message.offer());
  }
  return impl_->TakeActions();
}

auto EntryRouter::OnIdempotencyRecord(TimePoint now,
                                      uint64_t offset,
                                      const schema::LogRecord& record)
    -> RouterActions {
  impl_->idempotency().OnRecord(now, offset, record);
  return impl_->TakeActions();
}

auto EntryRouter::OnIdempotencyStream(TimePoint now, bool available)
    -> RouterActions {
  impl_->idempotency().OnStream(now, available);
  return impl_->TakeActions();
}

auto EntryRouter::OnAppendFailed(TimePoint now, const schema::LogEntry& entry)
    -> RouterActions {
  impl_->idempotency().OnAppendFailed(now, entry);
  return impl_->TakeActions();
}

auto EntryRouter::SetServices(
    TimePoint /*now*/,
    const std::vector<schema::VersionedObject>& objects) -> RouterActions {
  impl_->SetServices(objects);
  return impl_->TakeActions();
}

auto EntryRouter::OnTick(TimePoint now) -> RouterActions {
  impl_->OnTick(now);
  return impl_->TakeActions();
}

auto EntryRouter::next_wake() const -> TimePoint {
  return impl_->next_wake();
}

auto EntryRouter::endpoints() const -> std::vector<EndpointView> {
  std::vector<EndpointView> views;
  for (const auto& [agent, endpoint] : impl_->table().endpoints()) {
    views.push_back({.agent = agent,
                     .partner = endpoint->pool->partner,
                     .service = endpoint->pool->service,
                     .state = StateName(*endpoint),
                     .credits = endpoint->counted_window,
                     .in_progress = endpoint->unanswered,
                     .service_time = std::chrono::microseconds(
                         endpoint->grant.service_time_us())});
  }
  return views;
}

auto EntryRouter::pending() const -> std::size_t {
  return impl_->pending();
}

}  // namespace rhubarbhaven
