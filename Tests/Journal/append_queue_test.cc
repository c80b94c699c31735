#include <gtest/gtest.h>

#include <random>
#include <set>

#include "Journal/journal.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 3;

auto Entry(int number) -> schema::LogEntry {
  schema::LogEntry entry;
  entry.mutable_once_intent()->set_key(std::to_string(number));
  return entry;
}

auto Options() -> AppendQueueOptions {
  AppendQueueOptions options;
  options.writer = "w";
  options.incarnation = 7;
  options.max_entries_per_record = 1;
  return options;
}

enum class Event {
  kSendAnswered,
  kSendAnswerLost,
  kSendRefused,
  kSendSlow,
  kSlowArrives,
  kStartRead,
  kFinishRead,
  kGiveBack
};
constexpr int kEvents = 8;

// One writer, its log, and everything that may come between the two.
class World {
 public:
  World() : queue_(Options()) {
    for (int i = 0; i < kEntries; ++i) {
      queue_.Enqueue(Entry(i));
    }
  }

  // False if the event cannot happen now.
  auto Step(Event event) -> bool {
    now_ += seconds(10);
    switch (event) {
      case Event::kSlowArrives:
        return Arrive();
      case Event::kStartRead:
        read_ = {now_, log_.size()};
        return true;
      case Event::kFinishRead:
        return FinishRead();
      case Event::kGiveBack:
        return GiveBack();
      default:
        return Send(event);
    }
  }

  // What the fold makes of the log.
  auto Effects() const -> std::vector<std::string> {
    WriterMarks marks;
    std::vector<std::string> effects;
    for (std::size_t i = 0; i < log_.size(); ++i) {
      if (marks.Accept(i + 1, log_[i])) {
        effects.push_back(log_[i].entries(0).once_intent().key());
      }
    }
    return effects;
  }

  auto Check() const -> void {
    const auto effects = Effects();
    const std::set<std::string> once(effects.begin(), effects.end());
    ASSERT_EQ(once.size(), effects.size()) << "took effect twice";
    ASSERT_TRUE(std::is_sorted(effects.begin(), effects.end()));
    for (const auto& key : given_back_) {
      ASSERT_FALSE(once.contains(key)) << "given back, yet in the log";
    }
    ASSERT_TRUE(resent_blindly_.empty()) << resent_blindly_;
  }

  // Without further faults everything that was not given back takes effect.
  auto CheckSettles() -> void {
    for (int i = 0; i < 4 * kEntries && queue_.size() > 0; ++i) {
      Step(Event::kStartRead);
      Step(Event::kFinishRead);
      Step(Event::kSendAnswered);
    }
    Check();
    ASSERT_EQ(Effects().size() + given_back_.size(), kEntries);
  }

 private:
  struct Read {
    TimePoint asked;
    std::size_t size = 0;
  };

  auto Holds(const schema::LogRecord& record, std::size_t size) const -> bool {
    return std::any_of(log_.begin(),
                       log_.begin() + static_cast<std::ptrdiff_t>(size),
                       [&](const auto& other) {
                         return other.sequence() == record.sequence();
                       });
  }

  auto Send(Event event) -> bool {
    const bool was_unknown = unknown_.has_value();
    const auto record = queue_.NextRecord(now_);
    if (!record.has_value()) {
      return false;
    }
    if (was_unknown && unknown_->sequence() == record->sequence() &&
        !absence_seen_) {
      resent_blindly_ = "sent again without looking for it";
    }
    unknown_.reset();
    absence_seen_ = false;
    sent_at_ = now_;
    if (event == Event::kSendAnswered || event == Event::kSendAnswerLost) {
      log_.push_back(*record);
    }
    if (event == Event::kSendAnswered) {
      queue_.OnAppended(now_);
      return true;
    }
    if (event == Event::kSendRefused) {
      queue_.OnRefused(now_);
      return true;
    }
    if (event == Event::kSendSlow) {
      slow_.push_back(*record);
    }
    unknown_ = record;
    queue_.OnUnknown(now_);
    return true;
  }

  auto Arrive() -> bool {
    if (slow_.empty()) {
      return false;
    }
    log_.push_back(slow_.front());
    slow_.erase(slow_.begin());
    return true;
  }

  auto FinishRead() -> bool {
    if (!read_.has_value()) {
      return false;
    }
    for (std::size_t i = 0; i < read_->size; ++i) {
      queue_.OnRead(now_, log_[i]);
    }
    queue_.OnCaughtUp(now_, read_->asked);
    if (unknown_.has_value() && read_->asked > sent_at_ &&
        !Holds(*unknown_, read_->size)) {
      absence_seen_ = true;
    }
    read_.reset();
    return true;
  }

  auto GiveBack() -> bool {
    const auto entries = queue_.TakeUnsent();
    for (const auto& entry : entries) {
      given_back_.push_back(entry.once_intent().key());
    }
    return !entries.empty();
  }

  AppendQueue queue_;
  TimePoint now_;
  std::vector<schema::LogRecord> log_;
  // Sent, not arrived; may arrive at any time.
  std::vector<schema::LogRecord> slow_;
  std::optional<Read> read_;
  std::vector<std::string> given_back_;
  std::optional<schema::LogRecord> unknown_;
  TimePoint sent_at_;
  bool absence_seen_ = false;
  std::string resent_blindly_;
};

auto Explore(const World& world, int depth, int* visited) -> void {
  for (int i = 0; i < kEvents; ++i) {
    World next = world;
    if (!next.Step(static_cast<Event>(i))) {
      continue;
    }
    ++*visited;
    next.Check();
    if (testing::Test::HasFatalFailure()) {
      return;
    }
    if (depth > 1) {
      Explore(next, depth - 1, visited);
    } else {
      next.CheckSettles();
    }
  }
}

// Symptom: a placement or a change takes effect twice, or never, or after its
// maker was told that it did not.
// Sequence: an append's answer is lost, or the append arrives late, while the
// writer sends again, sends the next, or gives entries back.
// Cause: a record of unknown fate treated as appended or as not appended.
TEST(AppendQueueTest, TakesEffectOnceInEveryOrderOfEvents) {
  int visited = 0;
  Explore(World(), 9, &visited);
  EXPECT_GT(visited, 100000);
}

TEST(AppendQueueTest, TakesEffectOnceInLongRandomOrders) {
  std::mt19937 random(20261202);
  for (int run = 0; run < 2000 && !HasFatalFailure(); ++run) {
    World world;
    for (int i = 0; i < 60 && !HasFatalFailure(); ++i) {
      // Giving back is rare, or hardly anything would be left to send.
      const int events = random() % 50 == 0 ? kEvents : kEvents - 1;
      world.Step(static_cast<Event>(random() % events));
      world.Check();
    }
    world.CheckSettles();
  }
}

// Symptom: after a long outage the log is flooded, or memory grows in it.
// Sequence: the log is down while entries are enqueued, then comes back.
// Cause: no bound on the backlog, or one append for each entry at once.
TEST(AppendQueueTest, BacklogAndCatchUpAreBounded) {
  AppendQueueOptions options = Options();
  options.max_entries = 1000;
  options.max_entries_per_record = 10;
  AppendQueue queue(options);
  TimePoint now{seconds(1)};
  int taken = 0;
  for (int i = 0; i < 1500; ++i) {
    taken += queue.Enqueue(Entry(i)) ? 1 : 0;
  }
  EXPECT_EQ(taken, 1000);
  // Ten minutes of outage: tries back off to one in 5 s.
  int tries = 0;
  for (const TimePoint end = now + seconds(600); now < end && tries < 1000;
       now = queue.next_wake()) {
    ASSERT_TRUE(queue.NextRecord(now).has_value());
    queue.OnRefused(now);
    ++tries;
  }
  EXPECT_LE(tries, 130);
  // Back again: ten appends a second, not more.
  const TimePoint back = now;
  int appends = 0;
  while (queue.size() > 0 && appends < 1000) {
    now = queue.next_wake();
    ASSERT_TRUE(queue.NextRecord(now).has_value());
    queue.OnAppended(now);
    ++appends;
  }
  EXPECT_EQ(appends, 100);
  EXPECT_GE(now - back, milliseconds(99 * 100));
}

TEST(AppendQueueTest, RecordsStayBelowTheByteLimit) {
  AppendQueueOptions options = Options();
  options.max_entries_per_record = 256;
  options.max_record_bytes = 1000;
  AppendQueue queue(options);
  for (int i = 0; i < 20; ++i) {
    auto entry = Entry(i);
    entry.mutable_once_intent()->set_entry(
        std::string(i == 7 ? 5000 : 300, 'x'));
    queue.Enqueue(entry);
  }
  TimePoint now{seconds(1)};
  std::size_t entries = 0;
  while (queue.size() > 0) {
    now = queue.next_wake();
    const auto record = queue.NextRecord(now);
    entries += static_cast<std::size_t>(record->entries_size());
    // One entry alone may be larger; it goes by itself.
    EXPECT_TRUE(record->ByteSizeLong() < 1100 || record->entries_size() == 1);
    queue.OnAppended(now);
  }
  EXPECT_EQ(entries, 20);
}

TEST(AppendQueueTest, OnlyOldEntriesAreGivenBack) {
  AppendQueue queue(Options());
  const TimePoint start{seconds(1)};
  for (int i = 0; i < 4; ++i) {
    queue.Enqueue(Entry(i), start + seconds(i));
  }
  // The first is under way and refused, so it may be given back too.
  queue.NextRecord(start + seconds(4));
  queue.OnRefused(start + seconds(4));
  EXPECT_EQ(queue.TakeUnsentBefore(start + seconds(1)).size(), 2);
  EXPECT_EQ(queue.oldest_unsent(), start + seconds(2));
}

}  // namespace
}  // namespace rhubarbhaven
