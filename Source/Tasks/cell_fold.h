#ifndef RHUBARBHAVEN_TASKS_CELL_FOLD_H_
#define RHUBARBHAVEN_TASKS_CELL_FOLD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Base/base.h"

namespace rhubarbhaven {

// What one entry of a record did to the state.
struct CellEffect {
  // False if the fold made it void; `why` then says so.
  bool accepted = false;
  std::string why;
  schema::LogEntry entry;
};

// The deterministic fold of one cell's stream: who owns the cell under which
// fence, and where each task's latest attempt is. The same records give the
// same state in every process.
class CellFold {
 public:
  explicit CellFold(std::string cell);

  // Records must come in offset order; a record at or below `applied` is
  // ignored and gives no effects.
  auto Apply(uint64_t offset, const schema::LogRecord& record)
      -> std::vector<CellEffect>;
  // Takes a snapshot's state if it covers more than was applied.
  auto Adopt(const schema::CellState& state) -> bool;
  auto Export() const -> schema::CellState;

  auto applied() const -> uint64_t;
  auto fence() const -> uint64_t;
  // Offset of the latest claim or renewal; zero for a free cell.
  auto claim_offset() const -> uint64_t;
  // An owner was replaced without a release and may still renew unverified.
  auto unsettled() const -> bool;
  auto owner() const -> const std::string&;
  auto owner_incarnation() const -> uint64_t;
  // By task name (see TaskName).
  auto tasks() const -> const std::map<std::string, schema::TaskState>&;

 private:
  auto IsRepeat(const schema::LogRecord& record) -> bool;
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
