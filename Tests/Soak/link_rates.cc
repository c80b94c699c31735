#include "Tests/Soak/link_rates.h"

#include <absl/strings/str_cat.h>

#include "Tests/Soak/random_source.h"

namespace rhubarbhaven::soak {
namespace {

constexpr int kThinMbps = 2;
constexpr int kFatMbps = 50;
}  // namespace

auto LinkRates(const SoakOptions& options) -> std::vector<int> {
  if (options.faults != FaultSet::kRate) {
    return {};
  }
  RandomSource random_source(options.seed);
  std::vector<int> rates(static_cast<std::size_t>(options.entries), kFatMbps);
  const auto thin = random_source.Pick(
      1, options.entries > 1 ? options.entries - 1 : options.entries);
  for (const int entry : random_source.Distinct(thin, options.entries)) {
    rates[entry] = kThinMbps;
  }
  return rates;
}

auto DescribeLinkRates(const SoakOptions& options) -> std::string {
  std::string text;
  int number = 0;
  for (const int rate : LinkRates(options)) {
    absl::StrAppend(&text, "entry ", number++, " sends ", rate, " Mbit/s\n");
  }
  return text;
}

}  // namespace rhubarbhaven::soak
