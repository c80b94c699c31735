#ifndef RHUBARBHAVEN_TESTS_SOAK_RANDOM_SOURCE_H_
#define RHUBARBHAVEN_TESTS_SOAK_RANDOM_SOURCE_H_

#include <chrono>
#include <cstdint>
#include <numeric>
#include <random>
#include <utility>
#include <vector>

namespace rhubarbhaven::soak {

// Draws that depend on nothing but the seed.
class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : random_(seed) {}

  auto Pick(int64_t low, int64_t high) -> int64_t {
    const auto span = static_cast<uint64_t>(high - low + 1);
    return low + static_cast<int64_t>(random_() % span);
  }
  auto Pick(std::chrono::milliseconds low, std::chrono::milliseconds high)
      -> std::chrono::milliseconds {
    return std::chrono::milliseconds(Pick(low.count(), high.count()));
  }
  template <typename Item>
  auto Of(const std::vector<Item>& items) -> const Item& {
    return items[random_() % items.size()];
  }
  // Returns `count` distinct numbers below `limit`.
  auto Distinct(int64_t count, int limit) -> std::vector<int> {
    std::vector<int> numbers(static_cast<std::size_t>(limit));
    std::iota(numbers.begin(), numbers.end(), 0);
    for (int64_t drawn = 0; drawn < count; ++drawn) {
      std::swap(numbers[drawn], numbers[Pick(drawn, limit - 1)]);
    }
    numbers.resize(static_cast<std::size_t>(count));
    return numbers;
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace rhubarbhaven::soak

#endif  // RHUBARBHAVEN_TESTS_SOAK_RANDOM_SOURCE_H_
