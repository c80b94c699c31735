#ifndef RHUBARBHAVEN_TASKS_TASKS_H_
#define RHUBARBHAVEN_TASKS_TASKS_H_

// Who owns a cell, and that each task runs in one place. No I/O, no locks, no
// clock, no threads.

#include "Tasks/cell_fold.h"
#include "Tasks/owner.h"
#include "Tasks/task_keeper.h"

#endif  // RHUBARBHAVEN_TASKS_TASKS_H_
