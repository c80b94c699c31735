#include "Placement/effect_estimates.h"

#include <algorithm>
#include <cmath>

namespace rhubarbhaven {
namespace {

// Variance of one measured log(p99), which corresponds to about 10 % noise.
constexpr double kMeasurementVariance = 0.01;
// After this many half-lives without an update, an effect is removed.
constexpr int kMaxHalfLives = 10;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

auto EffectTable::At(TimePoint now, const std::string& name) const -> Effect {
  const auto entry = effects_.find(name);
  if (entry == effects_.end()) {
    return {0, options_.initial_variance, now};
  }
  Effect effect = entry->second;
  const double age = std::max(0.0, Seconds(now - effect.updated));
  const double kept =
      std::exp2(-age / static_cast<double>(options_.half_life.count()));
  if (options_.decays_to_zero) {
    effect.mean *= kept;
  }
  effect.variance = effect.variance * kept * kept +
                    options_.initial_variance * (1 - kept * kept);
  effect.updated = now;
  return effect;
}

auto EffectTable::Set(TimePoint now, const std::string& name, Effect effect)
    -> void {
  if (options_.decays_to_zero) {
    effect.mean = std::max(0.0, effect.mean);
  }
  effect.updated = now;
  effects_[name] = effect;
}

auto EffectTable::Prune(TimePoint now) -> void {
  absl::erase_if(effects_, [&](const auto& entry) -> bool {
    return now - entry.second.updated > options_.half_life * kMaxHalfLives;
  });
}

auto LearnEffects(TimePoint now,
                  double observed,
                  const std::string& base,
                  const std::vector<EffectTerm>& terms,
                  EffectTable& bases,
                  EffectTable& effects) -> void {
  Effect own = bases.At(now, base);
  double expected = own.mean;
  double total_variance = own.variance + kMeasurementVariance;
  std::vector<Effect> parts;
  parts.reserve(terms.size());
  for (const EffectTerm& term : terms) {
    const Effect effect = effects.At(now, term.name);
    expected += term.share * effect.mean;
    total_variance += term.share * term.share * effect.variance;
    parts.push_back(effect);
  }
  const double error = observed - expected;
  const double own_gain = own.variance / total_variance;
  own.mean += own_gain * error;
  own.variance *= 1 - own_gain;
  bases.Set(now, base, own);
  for (std::size_t index = 0; index < terms.size(); ++index) {
    Effect effect = parts[index];
    const double share = terms[index].share;
    const double gain = share * effect.variance / total_variance;
    effect.mean += gain * error;
    effect.variance *= 1 - gain * share;
    effects.Set(now, terms[index].name, effect);
  }
}

}  // namespace rhubarbhaven
