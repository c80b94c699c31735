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
  kSendRejected,
  kSendDelayed,
  kDelayedArrives,
  kStartRead,
  kFinishRead,
  kReturnUnsent
};
constexpr int kEvents = 8;

// Simulates one writer, its log, and the faults that may occur between them.
class WriterSimulation {
 public:
  WriterSimulation() : queue_(Options()) {
    for (int i = 0; i < kEntries; ++i) {
      queue_.Enqueue(Entry(i));
    }
  }

  // Returns false if the event is not possible in the current state.
  auto Step(Event event) -> bool {
    now_ += seconds(10);
    switch (event) {
      case Event::kDelayedArrives:
        return Arrive();
      case Event::kStartRead:
        read_ = {now_, log_.size()};
        return true;
      case Event::kFinishRead:
        return FinishRead();
      case Event::kReturnUnsent:
        return ReturnUnsent();
      default:
        return Send(event);
    }
  }

  // Keys of the entries in the log that take effect, in order.
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
    for (const auto& key : returned_keys_) {
      ASSERT_FALSE(once.contains(key))
          << "returned to the caller, but in the log";
    }
    ASSERT_TRUE(unverified_resend_.empty()) << unverified_resend_;
  }

  // Without further faults, every entry that was not returned to the caller
  // takes effect.
  auto CheckConverges() -> void {
    for (int i = 0; i < 4 * kEntries && queue_.size() > 0; ++i) {
      Step(Event::kStartRead);
      Step(Event::kFinishRead);
      Step(Event::kSendAnswered);
    }
    Check();
    ASSERT_EQ(Effects().size() + returned_keys_.size(), kEntries);
  }

 private:
  struct Read {
    TimePoint read_sent_at;
    std::size_t size = 0;
  };

  auto Contains(const schema::LogRecord& record, std::size_t size) const
      -> bool {
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
      unverified_resend_ = "sent again without reading the stream";
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
    if (event == Event::kSendRejected) {
      queue_.OnRejected(now_);
      return true;
    }
    if (event == Event::kSendDelayed) {
      delayed_.push_back(*record);
    }
    unknown_ = record;
    queue_.OnUnknown(now_);
    return true;
  }

  auto Arrive() -> bool {
    if (delayed_.empty()) {
      return false;
    }
    log_.push_back(delayed_.front());
    delayed_.erase(delayed_.begin());
    return true;
  }

  auto FinishRead() -> bool {
    if (!read_.has_value()) {
      return false;
    }
    for (std::size_t i = 0; i < read_->size; ++i) {
      queue_.OnRead(now_, log_[i]);
    }
    queue_.OnCaughtUp(now_, read_->read_sent_at);
    if (unknown_.has_value() && read_->read_sent_at > sent_at_ &&
        !Contains(*unknown_, read_->size)) {
      absence_seen_ = true;
    }
    read_.reset();
    return true;
  }

  auto ReturnUnsent() -> bool {
    const auto entries = queue_.TakeUnsent();
    for (const auto& entry : entries) {
      returned_keys_.push_back(entry.once_intent().key());
    }
    return !entries.empty();
  }

  AppendQueue queue_;
  TimePoint now_;
  std::vector<schema::LogRecord> log_;
  // Records that were sent and may arrive at any later time.
  std::vector<schema::LogRecord> delayed_;
  std::optional<Read> read_;
  std::vector<std::string> returned_keys_;
  std::optional<schema::LogRecord> unknown_;
  TimePoint sent_at_;
  bool absence_seen_ = false;
  std::string unverified_resend_;
};

auto Explore(const WriterSimulation& simulation, int depth, int* visited)
    -> void {
  for (int i = 0; i < kEvents; ++i) {
    WriterSimulation next = simulation;
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
      next.CheckConverges();
    }
  }
}

// Guards against a placement or change that takes effect twice, never, or after
// its caller was notified that it failed. This occurs if a record whose outcome
// is unknown is treated as appended or as not appended: the response to an
// append is lost, or the append arrives late, while the writer sends the record
// again, sends the next one, or returns entries to their callers.
TEST(AppendQueueTest, TakesEffectOnceInEveryOrderOfEvents) {
  int visited = 0;
  Explore(WriterSimulation(), 9, &visited);
  EXPECT_GT(visited, 100000);
}

TEST(AppendQueueTest, TakesEffectOnceInLongRandomOrders) {
  std::mt19937 random(20261202);
  for (int run = 0; run < 2000 && !HasFatalFailure(); ++run) {
    WriterSimulation simulation;
    for (int i = 0; i < 60 && !HasFatalFailure(); ++i) {
      // Entries are rarely returned; otherwise few would be left to send.
      const int events = random() % 50 == 0 ? kEvents : kEvents - 1;
      simulation.Step(static_cast<Event>(random() % events));
      simulation.Check();
    }
    simulation.CheckConverges();
  }
}

// Guards against memory that grows during a long outage of the log, and against
// a flood of appends after it. These occur if the backlog is not bounded, or if
// each entry is appended separately without a delay.
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
  // In an outage of ten minutes, attempts back off to one in 5 s.
  int tries = 0;
  for (const TimePoint end = now + seconds(600); now < end && tries < 1000;
       now = queue.next_wake()) {
    ASSERT_TRUE(queue.NextRecord(now).has_value());
    queue.OnRejected(now);
    ++tries;
  }
  EXPECT_LE(tries, 130);
  // After the outage there are at most ten appends a second.
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
    // A single entry may be larger; it is sent in a record of its own.
    EXPECT_TRUE(record->ByteSizeLong() < 1100 || record->entries_size() == 1);
    queue.OnAppended(now);
  }
  EXPECT_EQ(entries, 20);
}

TEST(AppendQueueTest, OnlyOldEntriesAreReturned) {
  AppendQueue queue(Options());
  const TimePoint start{seconds(1)};
  for (int i = 0; i < 4; ++i) {
    queue.Enqueue(Entry(i), start + seconds(i));
  }
  // The first entry was sent and rejected, so it may be returned too.
  queue.NextRecord(start + seconds(4));
  queue.OnRejected(start + seconds(4));
  EXPECT_EQ(queue.TakeUnsentBefore(start + seconds(1)).size(), 2);
  EXPECT_EQ(queue.oldest_unsent(), start + seconds(2));
}

}  // namespace
}  // namespace rhubarbhaven
