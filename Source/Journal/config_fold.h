#ifndef RHUBARBHAVEN_JOURNAL_CONFIG_FOLD_H_
#define RHUBARBHAVEN_JOURNAL_CONFIG_FOLD_H_

#include <absl/status/status.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Base/base.h"
#include "Journal/writer_marks.h"

namespace rhubarbhaven {

// "partner/kind/name".
auto KeyText(const schema::ObjectKey& key) -> std::string;

// The deterministic fold of the configuration stream. A change is accepted or
// rejected as a whole, and every process reaches the same decision.
class ConfigFold {
 public:
  // Records must be passed in offset order; a record at or below `applied` is
  // ignored. Returns the outcomes of the changes in the record.
  auto Apply(uint64_t offset, const schema::LogRecord& record)
      -> std::vector<schema::ChangeOutcome>;
  // Replaces the state by that of a snapshot if the snapshot covers more than
  // was applied. Otherwise returns false and changes nothing, so that no change
  // is reverted.
  auto Adopt(const schema::ConfigState& state) -> bool;
  auto Export() const -> schema::ConfigState;

  auto applied() const -> uint64_t;
  auto Find(const schema::ObjectKey& key) const
      -> std::optional<schema::VersionedObject>;
  auto objects() const -> std::vector<schema::VersionedObject>;
  // Outcome of a change, if it is among the latest `kMaxOutcomes`.
  auto outcome(const std::string& change_id) const
      -> std::optional<schema::ChangeOutcome>;

 private:
  // Number of outcomes that are stored; the oldest are removed first.
  static constexpr std::size_t kMaxOutcomes = 1024;

  auto Decide(uint64_t offset, const schema::ConfigChange& change)
      -> schema::ChangeOutcome;
  // Checks one object and fills in the fallbacks of its schema, so that `item`
  // holds the object as it will be stored.
  auto CheckObjectChange(const schema::ConfigChange& change,
                         schema::ObjectChange* item) const -> absl::Status;
  auto CheckVersion(const schema::ObjectChange& item) const -> absl::Status;
  // Checks the references between objects as they would be after the change.
  auto CheckReferences(const std::vector<schema::ObjectChange>& items) const
      -> absl::Status;
  auto CheckTeamsInUse(const std::set<std::string>& removed_keys,
                       const std::set<std::string>& stored_keys) const
      -> absl::Status;
  auto StoreObject(uint64_t offset, schema::ObjectChange item) -> void;
  auto StoreOutcome(const schema::ChangeOutcome& outcome) -> void;

  uint64_t applied_ = 0;
  std::map<std::string, schema::VersionedObject> objects_;
  // Partner that owns each instance name; see `CheckReferences`.
  std::map<std::string, std::string> instance_partner_;
  WriterMarks writers_;
  std::deque<std::string> outcome_order_;
  std::map<std::string, schema::ChangeOutcome> outcomes_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_CONFIG_FOLD_H_
