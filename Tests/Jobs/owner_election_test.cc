// Tests of who owns the cell, decided by the claims in the log and by the
// absence of renewals.

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>

#include "Jobs/jobs.h"

namespace rhubarbhaven::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::seconds(100)};

auto Options(const std::string& name) -> OwnerElectionOptions {
  OwnerElectionOptions options;
  options.name = name;
  options.incarnation = 7;
  return options;
}

auto ClaimOf(const std::string& owner, uint64_t fence, bool released)
    -> OwnerClaim {
  OwnerClaim claim;
  claim.set_owner(owner);
  claim.set_incarnation(1);
  claim.set_fence(fence);
  claim.set_released(released);
  return claim;
}

struct ClaimCase {
  std::string name;
  OwnerClaim newest;
  bool any = true;
  // Time since the newest claim was read; the log is readable throughout.
  milliseconds time_without_renewal{0};
  bool claims = false;
};

class ClaimTest : public testing::TestWithParam<ClaimCase> {};

TEST_P(ClaimTest, IsMadeWhenTheOwnerDoesNotRenew) {
  OwnerElection election(Options("me"));
  TimePoint now = kStart;
  election.OnCaughtUp(now, now);
  if (GetParam().any) {
    election.OnClaimRead(now, GetParam().newest);
  }
  const TimePoint end = now + GetParam().time_without_renewal;
  while (now < end) {
    now += milliseconds(100);
    election.OnCaughtUp(now, now);
  }
  const auto claim = election.ClaimDue(now);
  EXPECT_EQ(claim.has_value(), GetParam().claims);
  if (claim) {
    EXPECT_EQ(claim->fence(), GetParam().newest.fence() + 1);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ClaimTest,
    testing::Values(
        ClaimCase{"nobody_has_claimed", {}, false, milliseconds(0), true},
        ClaimCase{"released", ClaimOf("other", 3, true), true, milliseconds(0),
                  true},
        ClaimCase{"renewed_just_now", ClaimOf("other", 3, false), true,
                  milliseconds(1000), false},
        ClaimCase{"silent", ClaimOf("other", 3, false), true,
                  milliseconds(2500), true},
        ClaimCase{"own_predecessor", ClaimOf("me", 3, false), true,
                  milliseconds(0), true}),
    [](const auto& info) { return info.param.name; });

constexpr milliseconds kLease{5000};
constexpr milliseconds kUnverified{16000};

struct GrantsCase {
  std::string name;
  OwnerClaim before;
  milliseconds earlier_grants{0};
  // The previous owner may be alive and cut off.
  bool may_be_alive = false;
  // Time after the previous claim was read, with a margin for differing clocks.
  milliseconds before_last{0};
  bool records_grants = true;
};

// Guards against long-running tasks that are not restarted for 20 s and more
// when an entry is restarted repeatedly: each of its processes waited for its
// predecessor as for an owner that is only cut off and continues to run.
class GrantsTest : public testing::TestWithParam<GrantsCase> {};

TEST_P(GrantsTest, ReportsWhenEarlierGrantsAreOver) {
  const auto& param = GetParam();
  auto options = Options("me");
  options.lease = kLease;
  OwnerElection election(options);
  auto before = param.before;
  before.set_notes_grants(param.records_grants);
  before.set_earlier_grants_ms(
      static_cast<uint64_t>(param.earlier_grants.count()));
  election.OnCaughtUp(kStart, kStart);
  election.OnClaimRead(kStart, before);
  TimePoint now = kStart;
  std::optional<OwnerClaim> claim;
  while (!claim) {
    now += milliseconds(500);
    election.OnCaughtUp(now, now);
    claim = election.ClaimDue(now);
  }
  const auto& grants = election.earlier_grants();
  EXPECT_EQ(grants.last_owner,
            param.may_be_alive ? kStart + kUnverified + kLease : now + kLease);
  EXPECT_EQ(grants.before_last_owner, kStart + param.before_last);
  const auto longest = std::max(grants.last_owner, grants.before_last_owner);
  EXPECT_EQ(claim->earlier_grants_ms(),
            std::chrono::duration_cast<milliseconds>(longest - now).count());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    GrantsTest,
    testing::Values(
        GrantsCase{"released", ClaimOf("other", 3, true)},
        GrantsCase{"silent", ClaimOf("other", 3, false), milliseconds(0), true},
        GrantsCase{"own_predecessor", ClaimOf("me", 3, false)},
        GrantsCase{"own_predecessor_after_another", ClaimOf("me", 3, false),
                   milliseconds(20000), false, milliseconds(20400)},
        GrantsCase{"released_after_another", ClaimOf("other", 3, true),
                   milliseconds(20000), false, milliseconds(20400)},
        GrantsCase{"silent_after_another", ClaimOf("other", 3, false),
                   milliseconds(9000), true, milliseconds(9180)},
        // From another writer: no grant is valid for an hour.
        GrantsCase{"absurd", ClaimOf("me", 3, false), milliseconds(3600000),
                   false, milliseconds(21420)},
        // From a version that does not record to whom it grants.
        GrantsCase{"silent_and_says_nothing", ClaimOf("other", 3, false),
                   milliseconds(0), true, kUnverified + kLease, false},
        GrantsCase{"own_predecessor_says_nothing", ClaimOf("me", 3, false),
                   milliseconds(0), true, kUnverified + kLease, false}),
    [](const auto& info) { return info.param.name; });

struct ResignationCase {
  std::string name;
  std::string entry;
  uint64_t fence = 0;
  bool ends_wait = false;
};

class ResignationTest : public testing::TestWithParam<ResignationCase> {};

// Guards against tasks from before a takeover that are not restarted for 21.4 s
// if a worker failed together with the owner. The owner loses power, another
// entry claims the cell, and the first entry is back 4 s later. The new owner
// was not notified that the previous process had ended, and waited as for an
// owner that is only cut off and continues to run.
TEST_P(ResignationTest, EndsTheWaitForTheOwnerThatWasReplaced) {
  auto options = Options("me");
  options.lease = kLease;
  OwnerElection election(options);
  election.OnCaughtUp(kStart, kStart);
  auto before = ClaimOf("other", 3, false);
  before.set_notes_grants(true);
  election.OnClaimRead(kStart, before);
  TimePoint now = kStart;
  while (!election.ClaimDue(now)) {
    now += milliseconds(500);
    election.OnCaughtUp(now, now);
  }
  const TimePoint waits_until = election.earlier_grants().last_owner;
  now += milliseconds(2000);
  EXPECT_EQ(election.OnResignationRead(now, GetParam().entry, GetParam().fence),
            GetParam().ends_wait);
  EXPECT_EQ(election.earlier_grants().last_owner,
            GetParam().ends_wait ? now + kLease : waits_until);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ResignationTest,
    testing::Values(ResignationCase{"of_that_claim", "other", 3, true},
                    ResignationCase{"after_it_read_the_new_claim", "other", 4,
                                    true},
                    // The entry has claimed again since.
                    ResignationCase{"of_an_earlier_claim", "other", 2, false},
                    ResignationCase{"of_another_entry", "third", 3, false}),
    [](const auto& info) { return info.param.name; });

struct LateRenewalCase {
  std::string name;
  // The log has confirmed this entry's claim before the renewal is read.
  bool stored = false;
};

class LateRenewalTest : public testing::TestWithParam<LateRenewalCase> {};

// Guards against tasks that run in two places. The previous owner's last
// renewal is stored just before this entry's claim and read after that was
// made: it may grant for that much longer.
TEST_P(LateRenewalTest, ExtendsTheWaitForThePreviousOwner) {
  constexpr milliseconds kLate{2500};
  auto options = Options("me");
  options.lease = kLease;
  OwnerElection election(options);
  auto before = ClaimOf("other", 3, false);
  before.set_notes_grants(true);
  before.set_grants_need_majority(true);
  election.OnCaughtUp(kStart, kStart);
  election.OnClaimRead(kStart, before);
  TimePoint now = kStart;
  std::optional<OwnerClaim> claim;
  while (!claim) {
    now += milliseconds(500);
    election.OnCaughtUp(now, now);
    claim = election.ClaimDue(now);
  }
  EXPECT_EQ(election.earlier_grants().last_owner_renewed, kStart);
  if (GetParam().stored) {
    election.OnAppendStored(now);
    election.OnRenewalStored(now);
  }
  before.set_renewal(7);
  const TimePoint read_at = kStart + kLate;
  election.OnClaimRead(read_at, before);
  election.OnClaimRead(read_at, *claim);
  EXPECT_EQ(election.fence(), claim->fence());
  EXPECT_EQ(election.earlier_grants().last_owner,
            read_at + kUnverified + kLease);
  EXPECT_EQ(election.earlier_grants().last_owner_renewed, read_at);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         LateRenewalTest,
                         testing::Values(LateRenewalCase{"not_confirmed",
                                                         false},
                                         LateRenewalCase{"confirmed", true}),
                         [](const auto& info) { return info.param.name; });

// As above: the renewal is not read at all, since the log was read anew from
// its newest records, of which this entry's claim is one.
TEST(OwnerElectionTest, RereadExtendsTheWaitForThePreviousOwner) {
  auto options = Options("me");
  options.lease = kLease;
  OwnerElection election(options);
  auto before = ClaimOf("other", 3, false);
  before.set_notes_grants(true);
  before.set_grants_need_majority(true);
  election.OnCaughtUp(kStart, kStart);
  election.OnClaimRead(kStart, before);
  TimePoint now = kStart;
  std::optional<OwnerClaim> claim;
  while (!claim) {
    now += milliseconds(500);
    election.OnCaughtUp(now, now);
    claim = election.ClaimDue(now);
  }
  const TimePoint read_at = kStart + milliseconds(2500);
  election.OnReread(read_at);
  election.OnClaimRead(read_at, *claim);
  EXPECT_EQ(election.earlier_grants().last_owner_renewed, read_at);
  // Nothing more is hidden once this entry's claim has been read.
  election.OnReread(read_at + milliseconds(500));
  EXPECT_EQ(election.earlier_grants().last_owner_renewed, read_at);
}

struct BoundCase {
  std::string name;
  milliseconds bound{0};
  milliseconds stated{0};
};

class BoundTest : public testing::TestWithParam<BoundCase> {};

// Guards against several owners in a row that each wait for the first one: what
// one of them has learned is stated by its next renewal, which is due at once.
TEST_P(BoundTest, IsStatedByTheNextRenewal) {
  auto options = Options("me");
  options.lease = kLease;
  OwnerElection election(options);
  auto before = ClaimOf("other", 3, false);
  before.set_notes_grants(true);
  election.OnCaughtUp(kStart, kStart);
  election.OnClaimRead(kStart, before);
  TimePoint now = kStart;
  std::optional<OwnerClaim> claim;
  while (!claim) {
    now += milliseconds(500);
    election.OnCaughtUp(now, now);
    claim = election.ClaimDue(now);
  }
  election.OnClaimRead(now, *claim);
  now += milliseconds(10);
  EXPECT_FALSE(election.ClaimDue(now));
  election.OnLastOwnerBound(now, now + GetParam().bound);
  const auto renewal = election.ClaimDue(now);
  ASSERT_EQ(renewal.has_value(), GetParam().bound < kUnverified);
  if (renewal) {
    EXPECT_EQ(renewal->earlier_grants_ms(), GetParam().stated.count());
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    BoundTest,
    testing::Values(BoundCase{"sooner", milliseconds(3000), milliseconds(3000)},
                    BoundCase{"no_sooner", milliseconds(30000),
                              milliseconds(0)}),
    [](const auto& info) { return info.param.name; });

// Guards against all entries claiming the cell when the log is back after an
// outage: no owner could renew its claim while the log was unavailable.
TEST(OwnerElectionTest, OutageOfTheLogDoesNotCountAsMissingRenewals) {
  OwnerElection election(Options("me"));
  election.OnCaughtUp(kStart, kStart);
  election.OnClaimRead(kStart, ClaimOf("other", 3, false));
  const TimePoint back = kStart + std::chrono::seconds(10);
  EXPECT_FALSE(election.ClaimDue(back).has_value());
  election.OnCaughtUp(back, back);
  EXPECT_FALSE(election.ClaimDue(back).has_value());
}

constexpr milliseconds kReadInterval{100};

// Options of an election with the shortest wait, whatever its name.
auto ShortestWaitOptions() -> OwnerElectionOptions {
  auto options = Options("me");
  options.spread = milliseconds(1);
  return options;
}

struct ReadsCase {
  std::string name;
  // The renewal is read first. Then reads every 100 ms are answered for
  // `before`, not answered for `unavailable`, and answered again for `after`.
  milliseconds before{0};
  milliseconds unavailable{0};
  milliseconds after{0};
  bool claims = false;
};

class ReadsTest : public testing::TestWithParam<ReadsCase> {};

// Guards against the replacement of a running owner because reads from before a
// partition or an outage of the log are taken as evidence that the owner did
// not renew during it.
TEST_P(ReadsTest, OnlyAnsweredReadsShowMissingRenewals) {
  OwnerElection election(ShortestWaitOptions());
  election.OnClaimRead(kStart, ClaimOf("other", 3, false));
  election.OnCaughtUp(kStart, kStart);
  TimePoint now = kStart;
  bool claimed = false;
  const auto read_for = [&](milliseconds span, bool answered) -> void {
    for (const TimePoint until = now + span; now < until;) {
      now += kReadInterval;
      if (answered) {
        election.OnCaughtUp(now, now);
      }
      claimed = claimed || election.ClaimDue(now).has_value();
    }
  };
  read_for(GetParam().before, true);
  read_for(GetParam().unavailable, false);
  read_for(GetParam().after, true);
  EXPECT_EQ(claimed, GetParam().claims);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ReadsTest,
    testing::Values(ReadsCase{"cut_off_soon_after_a_renewal", milliseconds(400),
                              milliseconds(6000), milliseconds(0), false},
                    ReadsCase{"log_that_was_dark", milliseconds(400),
                              milliseconds(4500), milliseconds(1000), false},
                    // No owner could renew during the outage, but the time
                    // observed before it counts.
                    ReadsCase{"silent_before_the_dark_and_after",
                              milliseconds(1000), milliseconds(4500),
                              milliseconds(800), true},
                    ReadsCase{"silent", milliseconds(1800), milliseconds(0),
                              milliseconds(0), true}),
    [](const auto& info) { return info.param.name; });

// Returns an election of `me` that claims after an owner that did not renew,
// and the time of the claim.
auto Claimant() -> std::pair<OwnerElection, TimePoint> {
  OwnerElection election(ShortestWaitOptions());
  election.OnClaimRead(kStart, ClaimOf("other", 3, false));
  TimePoint now = kStart;
  election.OnCaughtUp(now, now);
  while (!election.ClaimDue(now)) {
    now += kReadInterval;
    election.OnCaughtUp(now, now);
  }
  return {std::move(election), now};
}

// Guards against a claim that replaces an owner which has renewed since.
TEST(OwnerElectionTest, RenewalMakesAClaimUnjustified) {
  auto [election, now] = Claimant();
  EXPECT_FALSE(election.ClaimIsUnjustified(now));
  election.OnClaimRead(now, ClaimOf("other", 3, false));
  EXPECT_TRUE(election.ClaimIsUnjustified(now));
}

// Guards against a claim that is made during a partition and stored when the
// partition heals.
TEST(OwnerElectionTest, ClaimIsUnjustifiedOnceReadsAreNotAnswered) {
  auto [election, now] = Claimant();
  EXPECT_TRUE(election.ClaimIsUnjustified(now + milliseconds(2000)));
}

TEST(OwnerElectionTest, StoredClaimIsNotUnjustified) {
  auto [election, now] = Claimant();
  election.OnAppendStored(now);
  EXPECT_FALSE(election.ClaimIsUnjustified(now + milliseconds(2000)));
}

struct ReadWaitCase {
  std::string name;
  milliseconds without_renewal{0};
  milliseconds wait{0};
};

class ReadWaitTest : public testing::TestWithParam<ReadWaitCase> {};

// Guards against an owner that is replaced later than necessary by the wait of
// one read.
TEST_P(ReadWaitTest, EndsWhenTheClaimIsDue) {
  OwnerElection election(ShortestWaitOptions());
  election.OnClaimRead(kStart, ClaimOf("other", 3, false));
  for (milliseconds at{0}; at <= GetParam().without_renewal;
       at += kReadInterval) {
    election.OnCaughtUp(kStart + at, kStart + at);
  }
  EXPECT_EQ(election.ReadWait(seconds(1)), GetParam().wait);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ReadWaitTest,
    testing::Values(ReadWaitCase{"renewed", milliseconds(0), seconds(1)},
                    ReadWaitCase{"silent_for_some_time", milliseconds(1100),
                                 milliseconds(500)},
                    ReadWaitCase{"silent_for_long", milliseconds(1700),
                                 seconds(1)}),
    [](const auto& info) { return info.param.name; });

struct LivenessCase {
  std::string name;
  // Whether the renewals that are read have `reads_nothing` set.
  bool reads_nothing = false;
  // Time between the moment whose state an answer shows and its processing.
  milliseconds answer_delay{0};
  bool claims = false;
};

class LivenessTest : public testing::TestWithParam<LivenessCase> {};

// Guards against an owner that reads nothing but counts as running, and against
// the replacement of an owner because an answer from before a freeze was
// processed late.
TEST_P(LivenessTest, DependsOnTheOwnersReadsAndTimelyAnswers) {
  OwnerElection election(Options("me"));
  auto claim = ClaimOf("other", 3, /*released=*/false);
  election.OnClaimRead(kStart, claim);
  election.OnCaughtUp(kStart, kStart);
  TimePoint now = kStart;
  for (int renewal = 0; renewal < 6; ++renewal) {
    now += milliseconds(500);
    claim.set_renewal(claim.renewal() + 1);
    claim.set_reads_nothing(GetParam().reads_nothing);
    election.OnClaimRead(now, claim);
    election.OnCaughtUp(now, now);
  }
  const TimePoint shown = now + milliseconds(1450);
  election.OnCaughtUp(shown + GetParam().answer_delay, now);
  now = shown + GetParam().answer_delay;
  election.OnCaughtUp(now, now);
  EXPECT_EQ(election.ClaimDue(now).has_value(), GetParam().claims);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LivenessTest,
    testing::Values(LivenessCase{"reads", false, milliseconds(0), false},
                    LivenessCase{"reads_nothing", true, milliseconds(0), true},
                    LivenessCase{"late_answer", false, milliseconds(700),
                                 false}),
    [](const auto& info) { return info.param.name; });

TEST(OwnerElectionTest, OwnerThatCannotVerifyStopsInTime) {
  OwnerElection election(Options("me"));
  election.OnCaughtUp(kStart, kStart);
  auto claim = election.ClaimDue(kStart);
  ASSERT_TRUE(claim.has_value());
  EXPECT_FALSE(election.owner(kStart));
  election.OnAppendStored(kStart);
  election.OnClaimRead(kStart, *claim);
  EXPECT_TRUE(election.owner(kStart));
  const auto limit = Options("me").unverified_limit;
  EXPECT_TRUE(election.owner(kStart + limit - milliseconds(1)));
  EXPECT_FALSE(election.owner(kStart + limit));
}

// Guards against a task that starts again after its end was recorded. An owner
// is cut off; the next entry claims and stops as planned before it has read its
// own claim; a third one takes over. The release stated that no grants of
// earlier owners are valid, since the last claim that was read, that of the
// cut-off owner, stated so.
TEST(OwnerElectionTest, ReleaseReportsGrantsOfThePreviousOwner) {
  auto options = Options("me");
  options.lease = kLease;
  OwnerElection election(options);
  election.OnCaughtUp(kStart, kStart);
  election.OnClaimRead(kStart, ClaimOf("other", 3, false));
  TimePoint now = kStart;
  while (!election.ClaimDue(now)) {
    now += milliseconds(500);
    election.OnCaughtUp(now, now);
  }
  const auto released = election.Release(now);
  ASSERT_TRUE(released.has_value());
  EXPECT_EQ(milliseconds(released->earlier_grants_ms()),
            kUnverified + kLease - (now - kStart));
}

TEST(OwnerElectionTest, LaterClaimEndsTheOwnership) {
  OwnerElection election(Options("me"));
  election.OnCaughtUp(kStart, kStart);
  const auto claim = election.ClaimDue(kStart);
  election.OnAppendStored(kStart);
  election.OnClaimRead(kStart, *claim);
  election.OnClaimRead(kStart, ClaimOf("other", claim->fence() + 1, false));
  EXPECT_FALSE(election.owner(kStart));
}

// Guards against an owner that uses the time of the log's answer, or of an
// append without an answer, as the time until which no other owner has followed
// it.
TEST(ExclusiveUntilTest, IsWhenTheNewestStoredAppendWasSent) {
  OwnerElection election(Options("me"));
  election.OnCaughtUp(kStart, kStart);
  ASSERT_TRUE(election.ClaimDue(kStart));
  election.OnAppendStored(kStart);
  EXPECT_EQ(election.exclusive_until(), kStart);
  election.OnCaughtUp(kStart + milliseconds(900), kStart + milliseconds(900));
  ASSERT_TRUE(election.ClaimDue(kStart + milliseconds(900)));
  EXPECT_EQ(election.exclusive_until(), kStart);
  election.OnAppendStored(kStart + milliseconds(800));
  election.OnAppendStored(kStart + milliseconds(300));
  EXPECT_EQ(election.exclusive_until(), kStart + milliseconds(800));
}

}  // namespace
}  // namespace rhubarbhaven::jobs
