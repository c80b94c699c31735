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

// The partners and services of the configuration, and whether a request is
// one that an entry can take.
class ServiceDirectory {
 public:
  auto Set(const std::vector<schema::VersionedObject>& objects) -> void;
  // REASON_NONE, or why the request is refused.
  auto Check(TimePoint now, const CallerRequest& caller) const
      -> schema::Reason;
  // Request weights by partner; a partner without one is not named.
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
