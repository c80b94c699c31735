#ifndef RHUBARBHAVEN_PLACEMENT_EFFECT_ESTIMATES_H_
#define RHUBARBHAVEN_PLACEMENT_EFFECT_ESTIMATES_H_

#include <chrono>
#include <string>
#include <vector>

#include "Base/base.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven {

// One estimated quantity on the scale of log(slowdown): a mean, and how
// unsure it is. Without news it returns to its first variance, and, where the
// table says so, to zero.
struct Effect {
  double mean = 0;
  double variance = 0;
  TimePoint updated;
};

// A part of an observation: `share` times the effect of that name.
struct EffectTerm {
  std::string name;
  double share = 1;
};

struct EffectOptions {
  std::chrono::seconds half_life{1800};
  double first_variance = 0.1;
  // For effects of jobs: they are not below zero and are forgotten. The
  // service's own level is neither: if it returned to zero, every report
  // above zero would lay a part of the difference on the jobs.
  bool forgets_to_zero = true;
};

// A set of effects with common options.
class EffectTable {
 public:
  explicit EffectTable(EffectOptions options) : options_(options) {}

  // The effect as it stands at `now`.
  auto At(TimePoint now, const std::string& name) const -> Effect;
  auto Set(TimePoint now, const std::string& name, Effect effect) -> void;
  // Forgets effects that have returned to where they began.
  auto Prune(TimePoint now) -> void;
  auto size() const -> std::size_t { return effects_.size(); }

 private:
  EffectOptions options_;
  absl::flat_hash_map<std::string, Effect> effects_;
};

// Learns from `observed` = base + sum of the terms, on the scale of logs. The
// error is shared among all parts in proportion to how unsure each one is, so
// that a job that is well known takes no blame for a newcomer.
auto LearnEffects(TimePoint now,
                  double observed,
                  const std::string& base,
                  const std::vector<EffectTerm>& terms,
                  EffectTable& bases,
                  EffectTable& effects) -> void;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_EFFECT_ESTIMATES_H_
