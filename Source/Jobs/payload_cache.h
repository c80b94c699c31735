#ifndef RHUBARBHAVEN_JOBS_PAYLOAD_CACHE_H_
#define RHUBARBHAVEN_JOBS_PAYLOAD_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <utility>

#include "Base/base.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven::jobs {

// The payloads of jobs whose tasks an agent has started lately, so that an
// owner need not send them with each start. The least recently used ones are
// discarded; the agent then asks its owner for them again.
class PayloadCache {
 public:
  explicit PayloadCache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // `hash`: of the payload; another job may be submitted later under the id of
  // one that is forgotten.
  auto Put(const std::string& job, uint64_t hash, const std::string& payload)
      -> void;
  // Returns null if the payload is not there. Valid until the next `Put`.
  auto Find(const std::string& job, uint64_t hash) -> const std::string*;

 private:
  using Key = std::pair<std::string, uint64_t>;
  struct Entry {
    Key key;
    std::string payload;
  };

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  // The most recently used one is first.
  std::list<Entry> entries_;
  absl::flat_hash_map<Key, std::list<Entry>::iterator> by_key_;
};

}  // namespace rhubarbhaven::jobs

#endif  // RHUBARBHAVEN_JOBS_PAYLOAD_CACHE_H_
