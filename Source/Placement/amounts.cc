#include "Placement/amounts.h"

#include <algorithm>
#include <limits>

namespace rhubarbhaven {
namespace {

auto Clamp(uint64_t value) -> int64_t {
  return static_cast<int64_t>(
      std::min<uint64_t>(value, static_cast<uint64_t>(kLargestAmount)));
}

auto ToUint32(int64_t value) -> uint32_t {
  constexpr int64_t kLargest = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(std::clamp<int64_t>(value, 0, kLargest));
}

auto AppendShortage(const char* dimension,
                    const char* unit,
                    int64_t need,
                    int64_t free,
                    std::string& text) -> void {
  if (need <= free) {
    return;
  }
  if (!text.empty()) {
    text += ", ";
  }
  text += std::string(dimension) + " " + std::to_string(need) + " of " +
          std::to_string(std::max<int64_t>(free, 0)) + unit;
}

}  // namespace

auto Amounts::operator+=(const Amounts& other) -> Amounts& {
  millicores += other.millicores;
  memory_mb += other.memory_mb;
  accelerators += other.accelerators;
  return *this;
}

auto Amounts::operator-=(const Amounts& other) -> Amounts& {
  millicores -= other.millicores;
  memory_mb -= other.memory_mb;
  accelerators -= other.accelerators;
  return *this;
}

auto operator+(Amounts left, const Amounts& right) -> Amounts {
  left += right;
  return left;
}

auto operator-(Amounts left, const Amounts& right) -> Amounts {
  left -= right;
  return left;
}

auto FromMessage(const schema::Resources& message) -> Amounts {
  return {Clamp(message.millicores()), Clamp(message.memory_mb()),
          Clamp(message.accelerators())};
}

auto ToMessage(const Amounts& amounts) -> schema::Resources {
  schema::Resources message;
  message.set_millicores(ToUint32(amounts.millicores));
  message.set_memory_mb(
      static_cast<uint64_t>(std::max<int64_t>(amounts.memory_mb, 0)));
  message.set_accelerators(ToUint32(amounts.accelerators));
  return message;
}

auto Fits(const Amounts& need, const Amounts& free) -> bool {
  return need.millicores <= free.millicores &&
         need.memory_mb <= free.memory_mb &&
         need.accelerators <= free.accelerators;
}

auto Larger(const Amounts& left, const Amounts& right) -> Amounts {
  return {std::max(left.millicores, right.millicores),
          std::max(left.memory_mb, right.memory_mb),
          std::max(left.accelerators, right.accelerators)};
}

auto Smaller(const Amounts& left, const Amounts& right) -> Amounts {
  return {std::min(left.millicores, right.millicores),
          std::min(left.memory_mb, right.memory_mb),
          std::min(left.accelerators, right.accelerators)};
}

auto DescribeShortage(const Amounts& need, const Amounts& free) -> std::string {
  std::string text;
  AppendShortage("processors", " millicores", need.millicores, free.millicores,
                 text);
  AppendShortage("memory", " MB", need.memory_mb, free.memory_mb, text);
  AppendShortage("accelerators", "", need.accelerators, free.accelerators,
                 text);
  return text;
}

}  // namespace rhubarbhaven
