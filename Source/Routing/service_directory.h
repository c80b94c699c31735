#ifndef RHUBARBHAVEN_ROUTING_SERVICE_DIRECTORY_H_
#define RHUBARBHAVEN_ROUTING_SERVICE_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Routing/entry_router.h"

namespace rhubarbhaven {

// Holds the configured partners and services, and checks whether an entry can
// accept a request.
class ServiceDirectory {
 public:
  auto Set(const std::vector<schema::VersionedObject>& objects) -> void;
  // Returns REASON_NONE, or the reason for which the request is rejected.
  auto Check(TimePoint now, const CallerRequest& caller) const
      -> schema::Reason;
  // Request weights by partner; partners without a weight are not included.
  auto weights() const -> const std::map<std::string, uint32_t>& {
    return weights_;
  }

 private:
  bool configured_ = false;
  std::map<std::string, std::set<std::string>> services_;
  std::map<std::string, uint32_t> weights_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_ROUTING_SERVICE_DIRECTORY_H_
