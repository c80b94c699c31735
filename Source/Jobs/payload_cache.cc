#include "Jobs/payload_cache.h"

namespace rhubarbhaven::jobs {

auto PayloadCache::Put(const std::string& job,
                       uint64_t hash,
                       const std::string& payload) -> void {
  const Key key(job, hash);
  if (payload.size() > max_bytes_ || Find(job, hash) != nullptr) {
    return;
  }
  entries_.push_front({key, payload});
  by_key_[key] = entries_.begin();
  bytes_ += payload.size();
  while (bytes_ > max_bytes_) {
    bytes_ -= entries_.back().payload.size();
    by_key_.erase(entries_.back().key);
    entries_.pop_back();
  }
}

auto PayloadCache::Find(const std::string& job, uint64_t hash)
    -> const std::string* {
  const auto found = by_key_.find(Key(job, hash));
  if (found == by_key_.end()) {
    return nullptr;
  }
  entries_.splice(entries_.begin(), entries_, found->second);
  return &found->second->payload;
}

}  // namespace rhubarbhaven::jobs
