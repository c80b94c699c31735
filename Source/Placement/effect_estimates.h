#ifndef RHUBARBHAVEN_PLACEMENT_EFFECT_ESTIMATES_H_
#define RHUBARBHAVEN_PLACEMENT_EFFECT_ESTIMATES_H_

#include <chrono>
#include <string>
#include <vector>

#include "Base/base.h"
#include "absl/container/flat_hash_map.h"

namespace rhubarbhaven {

// One estimated quantity on the scale of log(slowdown), with its variance.
// Without observations the variance returns to its initial value and, if the
// table's options say so, the mean to zero.
struct Effect {
  double mean = 0;
  double variance = 0;
  TimePoint updated;
};

// A term of an observation: `share` times the effect called `name`.
struct EffectTerm {
  std::string name;
  double share = 1;
};

struct EffectOptions {
  std::chrono::seconds half_life{1800};
  double initial_variance = 0.1;
  // Used for effects of jobs, which are never below zero and decay to zero. The
  // service's own level does neither: if it decayed to zero, every report above
  // zero would attribute part of the difference to the jobs.
  bool decays_to_zero = true;
};

// A set of effects with common options.
class EffectTable {
 public:
  explicit EffectTable(EffectOptions options) : options_(options) {}

  // Returns the effect decayed to `now`.
  auto At(TimePoint now, const std::string& name) const -> Effect;
  auto Set(TimePoint now, const std::string& name, Effect effect) -> void;
  // Removes effects that have decayed to their initial values.
  auto Prune(TimePoint now) -> void;
  auto size() const -> std::size_t { return effects_.size(); }

 private:
  EffectOptions options_;
  absl::flat_hash_map<std::string, Effect> effects_;
};

// Updates the estimates from `observed` = base + sum of the terms, on the
// logarithmic scale. The error is distributed over all terms in proportion to
// their variances, so that the effect of a new job is not attributed to a job
// whose estimate is already precise.
auto LearnEffects(TimePoint now,
                  double observed,
                  const std::string& base,
                  const std::vector<EffectTerm>& terms,
                  EffectTable& bases,
                  EffectTable& effects) -> void;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_EFFECT_ESTIMATES_H_
