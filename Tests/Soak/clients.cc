#include "Tests/Soak/clients.h"

#include <utility>

namespace rhubarbhaven::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kThreadsPerEntry = 4;
// Jobs that each agent is handed in a second: about half of its room.
constexpr double kJobsPerAgentSecond = 1.2;
constexpr milliseconds kIdle{2};
constexpr milliseconds kAgain{300};
constexpr milliseconds kFirstAsk{3100};
constexpr milliseconds kNextAsk{2000};
constexpr int64_t kPercent = 100;

auto EndsTheMatter(unsigned status) -> bool {
  return status == 410 || (status >= 200 && status < 300);
}

}  // namespace

Clients::Clients(const SoakOptions& options,
                 std::vector<std::string> addresses,
                 Checks* checks)
    : addresses_(std::move(addresses)),
      checks_(checks),
      between_jobs_(
          static_cast<int64_t>(1e6 / (kJobsPerAgentSecond * options.agents))),
      random_(options.seed),
      next_job_(Clock::now()),
      most_kept_lasting_(options.agents / 2 + 1) {
  for (int i = 0; i < kThreadsPerEntry * options.entries; ++i) {
    threads_.emplace_back([this]() -> void { Run(); });
  }
}

Clients::~Clients() {
  stop_ = true;
  for (auto& thread : threads_) {
    thread.join();
  }
}

auto Clients::Run() -> void {
  EntryCaller caller(addresses_);
  while (!stop_) {
    Deed deed;
    if (Next(&deed)) {
      Do(deed, &caller);
    } else {
      std::this_thread::sleep_for(kIdle);
    }
  }
}

auto Clients::Next(Deed* deed) -> bool {
  const std::lock_guard lock(mutex_);
  const TimePoint now = Clock::now();
  if (!deeds_.empty() && deeds_.begin()->first <= now) {
    *deed = std::move(deeds_.begin()->second);
    deeds_.erase(deeds_.begin());
    return true;
  }
  if (!hands_in_ || next_job_ > now) {
    return false;
  }
  next_job_ = now + between_jobs_;
  *deed = NewJob();
  return true;
}

auto Clients::NewJob() -> Deed {
  constexpr int64_t kLastingShare = 30;
  constexpr int64_t kWideShare = 8;
  constexpr int64_t kFailingShare = 6;
  const int64_t dice = Pick(0, kPercent - 1);
  JobKind kind = JobKind::kShort;
  if (dice < kLastingShare) {
    kind = JobKind::kLasting;
  } else if (dice < kLastingShare + kWideShare) {
    kind = JobKind::kWide;
  } else if (dice < kLastingShare + kWideShare + kFailingShare) {
    kind = JobKind::kFailing;
  }
  return {Act::kHandIn, MakeJobId(kind, random_()), AnyEntry()};
}

auto Clients::Pick(int64_t low, int64_t high) -> int64_t {
  return low + static_cast<int64_t>(random_() %
                                    static_cast<uint64_t>(high - low + 1));
}

auto Clients::AnyEntry() -> int {
  return static_cast<int>(Pick(0, static_cast<int64_t>(addresses_.size()) - 1));
}

auto Clients::Later(milliseconds wait, Deed deed) -> void {
  deeds_.emplace(Clock::now() + wait, std::move(deed));
}

auto Clients::Do(const Deed& deed, EntryCaller* caller) -> void {
  switch (deed.act) {
    case Act::kHandIn:
      HandIn(deed, caller);
      break;
    case Act::kRepeat:
      caller->HandIn(deed.entry, deed.job);
      break;
    case Act::kCancel:
      Cancel(deed, caller);
      break;
    case Act::kAsk:
      Ask(deed, caller);
      break;
  }
}

auto Clients::HandIn(const Deed& deed, EntryCaller* caller) -> void {
  constexpr int64_t kGivesUpWhenRefused = 50;
  checks_->HandedIn(deed.job);
  const unsigned status = caller->HandIn(deed.entry, deed.job).status;
  checks_->HandInAnswered(deed.job, status);
  const std::lock_guard lock(mutex_);
  if (status >= 200 && status < 300) {
    PlanAfter(deed.job);
    return;
  }
  const bool refused = status == 503 || status == 429;
  if (refused && Pick(0, kPercent - 1) < kGivesUpWhenRefused) {
    return;
  }
  Later(kAgain, {Act::kHandIn, deed.job, AnyEntry()});
}

auto Clients::PlanAfter(const std::string& job) -> void {
  constexpr int64_t kCancelledShortShare = 20;
  constexpr int64_t kAtOnceShare = 50;
  constexpr int64_t kRepeatedShare = 10;
  constexpr int64_t kMostCancels = 3;
  if (Pick(0, kPercent - 1) < kRepeatedShare) {
    Later(milliseconds(Pick(500, 5000)), {Act::kRepeat, job, AnyEntry()});
  }
  Later(kFirstAsk, {Act::kAsk, job, AnyEntry()});
  const bool lasts = KindOf(job) == JobKind::kLasting;
  if (lasts && kept_lasting_ < most_kept_lasting_) {
    ++kept_lasting_;
    return;
  }
  if (!lasts && Pick(0, kPercent - 1) >= kCancelledShortShare) {
    return;
  }
  const bool at_once = Pick(0, kPercent - 1) < kAtOnceShare;
  const milliseconds wait(at_once ? Pick(0, 60) : Pick(60, 4000));
  for (int64_t left = Pick(1, kMostCancels); left > 0; --left) {
    Later(wait + milliseconds(Pick(0, 20)), {Act::kCancel, job, AnyEntry()});
  }
}

auto Clients::Cancel(const Deed& deed, EntryCaller* caller) -> void {
  checks_->CancelSent(deed.job);
  const unsigned status = caller->Cancel(deed.entry, deed.job).status;
  checks_->CancelAnswered(deed.job, deed.entry, status);
  if (!EndsTheMatter(status)) {
    const std::lock_guard lock(mutex_);
    Later(kAgain, {Act::kCancel, deed.job, AnyEntry()});
  }
}

auto Clients::Ask(const Deed& deed, EntryCaller* caller) -> void {
  const TimePoint asked = Clock::now();
  const CallerAnswer answer = caller->Ask(deed.entry, deed.job);
  checks_->StateAnswered(deed.job, deed.entry, asked, answer.status,
                         answer.body);
  const std::lock_guard lock(mutex_);
  if (hands_in_) {
    Later(kNextAsk, {Act::kAsk, deed.job, AnyEntry()});
  }
}

}  // namespace rhubarbhaven::soak
