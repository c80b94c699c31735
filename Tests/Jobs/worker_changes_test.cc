#include "Jobs/worker_changes.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace rhubarbhaven::jobs {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

class WorkerChangesTest : public testing::Test {
 protected:
  WorkerChangesTest() {
    for (auto& worker : workers_) {
      changes_.Record(worker);
    }
  }

  auto Since(uint64_t mark) const -> std::vector<WorkerView*> {
    std::vector<WorkerView*> changed;
    for (const auto& [at, worker] : changes_.Since(mark)) {
      changed.push_back(worker);
    }
    return changed;
  }

  std::array<WorkerView, 3> workers_;
  WorkerChanges changes_;
};

TEST_F(WorkerChangesTest, AllHaveChangedSinceTheBeginning) {
  EXPECT_THAT(Since(0), ElementsAre(&workers_[0], &workers_[1], &workers_[2]));
}

TEST_F(WorkerChangesTest, NoneHasChangedSinceTheMark) {
  EXPECT_THAT(Since(changes_.mark()), IsEmpty());
}

TEST_F(WorkerChangesTest, ListsEachChangedWorkerOnce) {
  const uint64_t mark = changes_.mark();
  changes_.Record(workers_[1]);
  changes_.Record(workers_[0]);
  changes_.Record(workers_[1]);
  EXPECT_THAT(Since(mark), ElementsAre(&workers_[0], &workers_[1]));
}

TEST_F(WorkerChangesTest, ForgetsAWorkerThatIsGone) {
  const uint64_t mark = changes_.mark();
  changes_.Record(workers_[1]);
  changes_.Forget(workers_[1]);
  EXPECT_THAT(Since(mark), IsEmpty());
  EXPECT_THAT(Since(0), ElementsAre(&workers_[0], &workers_[2]));
}

}  // namespace
}  // namespace rhubarbhaven::jobs
