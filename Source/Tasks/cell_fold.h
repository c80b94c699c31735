#ifndef RHUBARBHAVEN_TASKS_CELL_FOLD_H_
#define RHUBARBHAVEN_TASKS_CELL_FOLD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// The effect of one log entry on the state.
struct CellEffect {
  // False if the entry had no effect; `why` then gives the reason.
  bool accepted = false;
  std::string why;
  schema::LogEntry entry;
};

// Deterministic fold of one cell's stream: the owner of the cell with its
// fence, and the latest attempt of each task. Every process that applies the
// same records computes the same state.
class CellFold {
 public:
  explicit CellFold(std::string cell);

  // Records must be applied in offset order. A record at or below `applied` is
  // ignored and has no effects.
  auto Apply(uint64_t offset, const schema::LogRecord& record)
      -> std::vector<CellEffect>;
  // Replaces the state with a snapshot of the same cell if the snapshot covers
  // a later offset than `applied`; returns whether it did.
  auto Adopt(const schema::CellState& state) -> bool;
  auto Export() const -> schema::CellState;

  auto applied() const -> uint64_t;
  auto fence() const -> uint64_t;
  // Offset of the latest claim or renewal; zero if the cell has no owner.
  auto claim_offset() const -> uint64_t;
  // True if an owner was replaced without a release. That owner may be cut off
  // from the log and still be renewing leases under its unverified claim.
  auto unsettled() const -> bool;
  auto owner() const -> const std::string&;
  auto owner_incarnation() const -> uint64_t;
  // Keyed by task name (see TaskName).
  auto tasks() const -> const std::map<std::string, schema::TaskState>&;

 private:
  auto IsDuplicate(const schema::LogRecord& record) -> bool;
  auto ApplyClaim(uint64_t offset, const schema::LogEntry& entry) -> CellEffect;
  auto ApplyOwnClaim(uint64_t offset, const schema::LogEntry& entry)
      -> CellEffect;
  auto ApplyPlacement(uint64_t offset, const schema::LogEntry& entry)
      -> CellEffect;
  auto ApplyEnd(const schema::LogEntry& entry) -> CellEffect;
  auto ApplyInstance(const schema::LogEntry& entry) -> CellEffect;

  std::string cell_;
  uint64_t applied_ = 0;
  uint64_t fence_ = 0;
  uint64_t claim_offset_ = 0;
  std::string owner_;
  uint64_t owner_incarnation_ = 0;
  bool unsettled_ = false;
  std::map<std::string, schema::TaskState> tasks_;
  std::map<std::string, schema::WriterMark> writers_;
  std::map<std::string, schema::InstanceSeen> instances_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_TASKS_CELL_FOLD_H_
