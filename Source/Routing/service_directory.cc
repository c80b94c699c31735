#include "Routing/service_directory.h"

#include "Routing/ascii.h"

namespace rhubarbhaven {
namespace {

constexpr std::chrono::hours kMaxDeadline{24};
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;

}  // namespace

auto ServiceDirectory::Set(const std::vector<schema::VersionedObject>& objects)
    -> void {
  configured_ = true;
  services_.clear();
  weights_.clear();
  for (const schema::VersionedObject& object : objects) {
    const std::string& partner = object.key().partner();
    // Any object of a partner makes the partner known.
    auto& services = services_[partner];
    if (object.object().has_service()) {
      services.insert(object.key().name());
    }
    if (object.object().has_rules()) {
      weights_[partner] = object.object().rules().request_weight();
    }
  }
}

auto ServiceDirectory::Check(TimePoint now, const CallerRequest& caller) const
    -> schema::Reason {
  if (!configured_) {
    return schema::ENTRY_NOT_READY;
  }
  const auto partner = services_.find(caller.partner);
  if (partner == services_.end()) {
    return schema::UNKNOWN_PARTNER;
  }
  if (!partner->second.contains(caller.service)) {
    return schema::UNKNOWN_SERVICE;
  }
  if (!caller.repeatable && caller.idempotency_key.empty()) {
    return schema::KEY_REQUIRED;
  }
  if (!IsEncodable(caller.http) || !IsAscii(caller.request_id) ||
      caller.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return schema::BAD_REQUEST;
  }
  if (caller.deadline <= now || caller.deadline - now > kMaxDeadline) {
    return schema::DEADLINE_INVALID;
  }
  return schema::REASON_NONE;
}

}  // namespace rhubarbhaven
