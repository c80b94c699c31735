#ifndef RHUBARBHAVEN_PLACEMENT_AMOUNTS_H_
#define RHUBARBHAVEN_PLACEMENT_AMOUNTS_H_

#include <cstdint>
#include <string>

#include "Base/base.h"

namespace rhubarbhaven {

// Resource amounts as signed 64-bit integers, so that sums over a whole cell
// and differences cannot overflow. Every amount read from a message is clamped
// to `kLargestAmount`.
struct Amounts {
  int64_t millicores = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  auto operator+=(const Amounts& other) -> Amounts&;
  auto operator-=(const Amounts& other) -> Amounts&;
  auto operator==(const Amounts& other) const -> bool = default;
};

inline constexpr int64_t kLargestAmount = int64_t{1} << 40;

auto operator+(Amounts left, const Amounts& right) -> Amounts;
auto operator-(Amounts left, const Amounts& right) -> Amounts;

auto FromMessage(const schema::Resources& message) -> Amounts;
// Converts negative amounts to zero.
auto ToMessage(const Amounts& amounts) -> schema::Resources;

// Returns true if `need` does not exceed `free` in any dimension.
auto Fits(const Amounts& need, const Amounts& free) -> bool;
// Return the element-wise maximum and minimum.
auto Larger(const Amounts& left, const Amounts& right) -> Amounts;
auto Smaller(const Amounts& left, const Amounts& right) -> Amounts;

// Returns "processors 4000 of 2000 millicores" for each dimension in which
// `need` exceeds `free`, joined by commas; empty if `need` fits.
auto DescribeShortage(const Amounts& need, const Amounts& free) -> std::string;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_AMOUNTS_H_
