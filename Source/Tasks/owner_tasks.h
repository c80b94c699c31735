#ifndef RHUBARBHAVEN_TASKS_OWNER_TASKS_H_
#define RHUBARBHAVEN_TASKS_OWNER_TASKS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "Base/base.h"
#include "Tasks/cell_fold.h"

namespace rhubarbhaven::tasks {

// State of a placed attempt that an owner keeps in addition to the log.
struct PlacedAttempt {
  enum class Stop { kNone, kCancel, kEvict };

  schema::TaskId task;
  uint32_t attempt = 0;
  std::string instance;
  uint64_t instance_incarnation = 0;
  schema::Resources admitted;
  Stop stop = Stop::kNone;
  std::string why;
  // Latest report of the agent on the attempt.
  bool running = false;
  std::string checkpoint;
  uint32_t progress_permille = 0;
  bool throttled = false;
  bool want_throttled = false;
  // The record of its end is being appended.
  bool end_issued = false;
};

// The placed attempts of a cell, indexed by task name and by instance.
class PlacedAttempts {
 public:
  auto Add(const schema::TaskState& state) -> PlacedAttempt&;
  auto Remove(const std::string& name) -> void;
  auto Clear() -> void;
  auto Find(const std::string& name) -> PlacedAttempt*;
  auto Find(const std::string& name) const -> const PlacedAttempt*;
  // Returns the attempt if it is the one placed on the instance, else null.
  auto FindOn(const std::string& instance,
              const schema::TaskId& task,
              uint32_t attempt) -> PlacedAttempt*;
  // Names of the tasks placed on the instance.
  auto On(const std::string& instance) const -> const std::set<std::string>&;
  auto all() -> std::map<std::string, PlacedAttempt>& { return attempts_; }
  auto all() const -> const std::map<std::string, PlacedAttempt>& {
    return attempts_;
  }

 private:
  std::map<std::string, PlacedAttempt> attempts_;
  std::map<std::string, std::set<std::string>> by_instance_;
};

}  // namespace rhubarbhaven::tasks

#endif  // RHUBARBHAVEN_TASKS_OWNER_TASKS_H_
