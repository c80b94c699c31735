#ifndef RHUBARBHAVEN_TASKS_TASKS_H_
#define RHUBARBHAVEN_TASKS_TASKS_H_

// Ownership of a cell, and the guarantee that each task runs in one place at a
// time. This package does no I/O, reads no clock and uses no locks or threads.

#include "Tasks/cell_fold.h"
#include "Tasks/owner.h"
#include "Tasks/task_supervisor.h"

#endif  // RHUBARBHAVEN_TASKS_TASKS_H_
