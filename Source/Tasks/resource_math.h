#ifndef RHUBARBHAVEN_TASKS_RESOURCE_MATH_H_
#define RHUBARBHAVEN_TASKS_RESOURCE_MATH_H_

#include "Schema/schema.h"

namespace rhubarbhaven::tasks {

// The larger value in each dimension.
auto Larger(const schema::Resources& a, const schema::Resources& b)
    -> schema::Resources;
// The smaller value in each dimension.
auto Smaller(const schema::Resources& a, const schema::Resources& b)
    -> schema::Resources;
auto Sum(const schema::Resources& a, const schema::Resources& b)
    -> schema::Resources;
auto Fits(const schema::Resources& need, const schema::Resources& capacity)
    -> bool;
auto IsZero(const schema::Resources& resources) -> bool;

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_RESOURCE_MATH_H_
