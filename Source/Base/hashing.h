#ifndef RHUBARBHAVEN_BASE_HASHING_H_
#define RHUBARBHAVEN_BASE_HASHING_H_

#include <cstdint>
#include <string_view>

namespace rhubarbhaven {

// A 64-bit hash that is the same in every process and build (FNV-1a with a
// final mix). Not for adversarial input.
auto StableHash(std::string_view text, uint64_t seed = 0) -> uint64_t;

// A random number that identifies one start of a process. Collisions are
// extremely unlikely.
auto RandomIncarnation() -> uint64_t;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_BASE_HASHING_H_
