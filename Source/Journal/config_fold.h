#ifndef RHUBARBHAVEN_JOURNAL_CONFIG_FOLD_H_
#define RHUBARBHAVEN_JOURNAL_CONFIG_FOLD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Base/base.h"

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
  uint64_t applied_ = 0;
  std::map<std::string, schema::VersionedObject> objects_;
  std::map<std::string, schema::WriterMark> writers_;
  std::vector<schema::ChangeOutcome> recent_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_JOURNAL_CONFIG_FOLD_H_
