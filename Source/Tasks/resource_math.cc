#include "Tasks/resource_math.h"

#include <algorithm>

namespace rhubarbhaven::tasks {
namespace {

auto Make(uint32_t millicores, uint64_t memory_mb, uint32_t accelerators)
    -> schema::Resources {
  schema::Resources made;
  made.set_millicores(millicores);
  made.set_memory_mb(memory_mb);
  made.set_accelerators(accelerators);
  return made;
}

}  // namespace

auto Larger(const schema::Resources& a, const schema::Resources& b)
    -> schema::Resources {
  return Make(std::max(a.millicores(), b.millicores()),
              std::max(a.memory_mb(), b.memory_mb()),
              std::max(a.accelerators(), b.accelerators()));
}

auto Smaller(const schema::Resources& a, const schema::Resources& b)
    -> schema::Resources {
  return Make(std::min(a.millicores(), b.millicores()),
              std::min(a.memory_mb(), b.memory_mb()),
              std::min(a.accelerators(), b.accelerators()));
}

auto Sum(const schema::Resources& a, const schema::Resources& b)
    -> schema::Resources {
  return Make(a.millicores() + b.millicores(), a.memory_mb() + b.memory_mb(),
              a.accelerators() + b.accelerators());
}

auto Fits(const schema::Resources& need, const schema::Resources& capacity)
    -> bool {
  return need.millicores() <= capacity.millicores() &&
         need.memory_mb() <= capacity.memory_mb() &&
         need.accelerators() <= capacity.accelerators();
}

auto IsZero(const schema::Resources& resources) -> bool {
  return Fits(resources, schema::Resources());
}

}  // namespace rhubarbhaven::tasks
