#include "Base/hashing.h"

#include <random>

namespace rhubarbhaven {

auto StableHash(std::string_view text, uint64_t seed) -> uint64_t {
  constexpr uint64_t kOffset = 0xcbf29ce484222325;
  constexpr uint64_t kPrime = 0x100000001b3;
  uint64_t hash = kOffset ^ seed;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kPrime;
  }
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccd;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53;
  hash ^= hash >> 33;
  return hash;
}

auto RandomIncarnation() -> uint64_t {
  std::random_device device;
  const uint64_t high = device();
  const uint64_t low = device();
  // Below 2^53, so that JSON parsers read it without loss of precision; never
  // zero.
  return (((high << 32) | low) & 0x1fffffffffffff) | 1;
}

}  // namespace rhubarbhaven
