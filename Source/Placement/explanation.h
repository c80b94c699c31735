#ifndef RHUBARBHAVEN_PLACEMENT_EXPLANATION_H_
#define RHUBARBHAVEN_PLACEMENT_EXPLANATION_H_

#include "Placement/cell_state.h"

namespace rhubarbhaven {

// Explains why a task waits and whether it can ever run, or where it runs.
auto ExplainTask(const CellState& cell,
                 const PlacerOptions& options,
                 TimePoint now,
                 const schema::TaskId& task) -> Explanation;

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_PLACEMENT_EXPLANATION_H_
