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

// The deterministic fold of the configuration stream. A change is taken or
// refused whole, and every process comes to the same verdict.
class ConfigFold {
 public:
  // Records must come in offset order; one at or below `applied` is ignored.
  // Returns the outcomes of the changes in it.
  auto Apply(uint64_t offset, const schema::LogRecord& record)
      -> std::vector<schema::ChangeOutcome>;
  // Takes a snapshot's state if it covers more than was applied; a state that
  // covers less is refused, so that nothing reverts.
  auto Adopt(const schema::ConfigState& state) -> bool;
  auto Export() const -> schema::ConfigState;

  auto applied() const -> uint64_t;
  auto Find(const schema::ObjectKey& key) const
      -> std::optional<schema::VersionedObject>;
  auto objects() const -> std::vector<schema::VersionedObject>;
  // What became of a change, as long as it is remembered.
  auto outcome(const std::string& change_id) const
      -> std::optional<schema::ChangeOutcome>;

 private:
  // Outcomes that are remembered; the oldest are forgotten first.
  static constexpr std::size_t kMaxOutcomes = 1024;

  auto Decide(uint64_t offset, const schema::ConfigChange& change)
      -> schema::ChangeOutcome;
  // The object as it will be stored, with its schema fallbacks filled in.
  auto CheckOne(const schema::ConfigChange& change,
                schema::ObjectChange* item) const -> absl::Status;
  auto CheckVersion(const schema::ObjectChange& item) const -> absl::Status;
  // References between objects, as they would be after the change.
  auto CheckReferences(const std::vector<schema::ObjectChange>& items) const
      -> absl::Status;
  auto CheckTeamsInUse(const std::set<std::string>& removed,
                       const std::set<std::string>& put) const -> absl::Status;
  auto Put(uint64_t offset, schema::ObjectChange item) -> void;
  auto Remember(const schema::ChangeOutcome& outcome) -> void;

  uint64_t applied_ = 0;
  std::map<std::string, schema::VersionedObject> objects_;
  // Partner that owns each instance name, see `CheckReferences`.
  std::map<std::string, std::string> instance_partner_;
  WriterMarks writers_;
  std::deque<std::string> recent_;
  std::map<std::string, schema::ChangeOutcome> outcomes_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_CONFIG_FOLD_H_
