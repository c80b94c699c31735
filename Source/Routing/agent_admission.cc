#include "Routing/agent_admission.h"

#include <utility>

#include "Routing/agent_admission_impl.h"

namespace rhubarbhaven {

AgentAdmission::AgentAdmission(AdmissionOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

AgentAdmission::~AgentAdmission() = default;

auto AgentAdmission::OnMessage(TimePoint now,
                               const std::string& entry,
                               const schema::Envelope& message)
    -> AdmissionActions {
  switch (message.body_case()) {
    case schema::Envelope::kOffer:
      impl_->OnOffer(now, entry, message.sender_incarnation(), message.offer());
      break;
    case schema::Envelope::kRecall:
      impl_->OnRecall(now, entry, message.sender_incarnation(),
                      message.recall().attempt_id());
      break;
    default:
      impl_->Count(schema::MESSAGE_MALFORMED);
  }
  return impl_->TakeActions();
}

auto AgentAdmission::OnEndpointAnswer(TimePoint now, EndpointOutcome outcome)
    -> AdmissionActions {
  impl_->OnEndpointAnswer(now, std::move(outcome));
  return impl_->TakeActions();
}

auto AgentAdmission::SetEntries(TimePoint now,
                                const std::vector<std::string>& entries)
    -> AdmissionActions {
  impl_->SetEntries(now, entries);
  return impl_->TakeActions();
}

auto AgentAdmission::SetIdentity(schema::Announce identity) -> void {
  impl_->SetIdentity(std::move(identity));
}

auto AgentAdmission::SetEndpointHealthy(TimePoint now, bool healthy)
    -> AdmissionActions {
  impl_->SetEndpointHealthy(now, healthy);
  return impl_->TakeActions();
}

auto AgentAdmission::Leave(TimePoint now) -> AdmissionActions {
  impl_->Leave(now);
  return impl_->TakeActions();
}

auto AgentAdmission::OnTick(TimePoint now) -> AdmissionActions {
  impl_->OnTick(now);
  return impl_->TakeActions();
}

auto AgentAdmission::next_wake() const -> TimePoint {
  return impl_->next_wake();
}

auto AgentAdmission::idle() const -> bool {
  return running() == 0 && queued() == 0;
}

auto AgentAdmission::running() const -> uint32_t {
  return impl_->running();
}

auto AgentAdmission::queued() const -> uint32_t {
  return impl_->queued();
}

}  // namespace rhubarbhaven
