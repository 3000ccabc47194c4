#include "retries/Retries.h"

#include "base/test/support/Property.h"

#include <string>

using namespace auburnmux;
using namespace auburnmux::retries;
using base::FailureKind;
using base::TimePoint;
using base::WorkKind;
using base::WorkOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart(std::chrono::hours(1));

FailedAttempt AnyAttempt()
{
  FailedAttempt it;
  it.mKind = *rc::gen::element(
    FailureKind::Refused, FailureKind::ConnectTimeout, FailureKind::Reset,
    FailureKind::ServerError, FailureKind::Stalled, FailureKind::NotStarted);
  it.mWork = *rc::gen::element(WorkKind::Idempotent, WorkKind::NonIdempotent);
  it.mBytesMayHaveArrived = *rc::gen::arbitrary<bool>();
  it.mResponseStarted = *rc::gen::arbitrary<bool>();
  it.mOtherMayHaveRun = *rc::gen::arbitrary<bool>();
  it.mQuarantined = *rc::gen::arbitrary<bool>();
  it.mForwarded = *rc::gen::arbitrary<bool>();
  it.mAttempts = *rc::gen::inRange<std::uint32_t>(1, 5);
  it.mRemaining = milliseconds(*rc::gen::inRange(0, 100));
  return it;
}

bool Retries(const FailedAttempt& aAttempt)
{
  RetryBudget budget({ 1, 10 });
  budget.OnRequest(kStart);
  return std::holds_alternative<RetryElsewhere>(
    AttemptPolicy::Decide(kStart, aAttempt, budget));
}

} // namespace

TEST_GROUP(AttemptPolicy){};

// Guards against reporting "not run" for work that may have run: the caller
// would repeat it.
TEST(AttemptPolicy, NotRunOnlyWhenNothingCanHaveRun)
{
  CHECK_PROPERTY("not run is certain", [] {
    const FailedAttempt it = AnyAttempt();
    const bool noByte = !it.mBytesMayHaveArrived;
    const bool saidSo = it.mKind == FailureKind::NotStarted;
    RC_ASSERT((AttemptPolicy::Outcome(it) == WorkOutcome::NotRun) ==
              ((noByte || saidSo) && !it.mOtherMayHaveRun));
    RetryBudget empty({ 0, 0 });
    const auto decision = AttemptPolicy::Decide(kStart, it, empty);
    const auto* giveUp = std::get_if<GiveUp>(&decision);
    if (giveUp == nullptr) {
      // Only a refused connection is repeated without budget.
      RC_ASSERT(it.mKind == FailureKind::Refused && noByte);
    } else {
      RC_ASSERT(giveUp->mOutcome == AttemptPolicy::Outcome(it));
    }
  });
}

// Guards against running non-idempotent work twice, retries by two hosts,
// unbounded retries, and sending a crashing request to more upstreams.
TEST(AttemptPolicy, RetriesOnlyWhatIsSafe)
{
  CHECK_PROPERTY("conditions of a retry", [] {
    const FailedAttempt it = AnyAttempt();
    const bool safe = it.mWork == WorkKind::Idempotent ||
                      AttemptPolicy::Outcome(it) == WorkOutcome::NotRun;
    const bool expected = safe && !it.mForwarded && !it.mQuarantined &&
                          !it.mResponseStarted && it.mAttempts < 3 &&
                          it.mRemaining >= milliseconds(2);
    RC_ASSERT(Retries(it) == expected);
  });
}

// Guards against spending budget on attempts that aren't made.
TEST(AttemptPolicy, GivingUpSpendsNoBudget)
{
  RetryBudget budget;
  budget.OnRequest(kStart);
  FailedAttempt attempt;
  attempt.mRemaining = seconds(1);
  AttemptPolicy::Decide(kStart, attempt, budget);
  CHECK_TRUE(budget.CanSpend(kStart));
  attempt.mWork = WorkKind::Idempotent;
  AttemptPolicy::Decide(kStart, attempt, budget);
  CHECK_FALSE(budget.CanSpend(kStart));
}

TEST_GROUP(HopDeadline){};

// Guards against a deadline that grows from hop to hop when the hosts' clocks
// differ.
TEST(HopDeadline, ShrinksAtEachHop)
{
  CHECK_PROPERTY("remaining time never grows", [] {
    TimePoint now = kStart;
    auto header = std::to_string(*rc::gen::inRange(0, 5000));
    for (int hop = 0; hop < 4; ++hop) {
      const auto deadline = HopDeadline::Parse(now, header);
      RC_ASSERT(deadline.has_value());
      const auto spent = milliseconds(*rc::gen::inRange(0, 500));
      const auto trip = milliseconds(*rc::gen::inRange(0, 40));
      const auto next = deadline->NextHop(now + spent, trip);
      const auto left = milliseconds(std::stol(header)) - spent - trip;
      RC_ASSERT(next.has_value() == (left >= milliseconds(1)));
      if (!next) {
        return;
      }
      RC_ASSERT(milliseconds(std::stol(*next)) == left);
      header = *next;
      // The next host has a different clock.
      now = kStart + seconds(*rc::gen::inRange(0, 100000));
    }
  });
}

// Guards against malformed input that is parsed as a number.
TEST(HopDeadline, RejectsWhatIsNoPlainNumber)
{
  for (const char* it : { "", " 5", "5 ", "-5", "+5", "5.0", "0x5", "5ms" }) {
    CHECK_FALSE(HopDeadline::Parse(kStart, it).has_value());
  }
  const auto huge = HopDeadline::Parse(kStart, "99999999999999999999999");
  CHECK_TRUE(huge->Time() == kStart + std::chrono::hours(1));
}

TEST_GROUP(StallPolicy){};

// Guards against marking a working upstream as unreachable because of one
// stalled connection, and against a request that waits on it forever.
TEST(StallPolicy, RetiresOnlyTheConnectionUnlessConnectsFail)
{
  CHECK_PROPERTY("stall decision", [] {
    const StallPolicy policy(seconds(2));
    const auto at = [] {
      return kStart + milliseconds(*rc::gen::inRange(0, 10000));
    };
    const ConnectionActivity it{ *rc::gen::arbitrary<bool>(), at(), at(),
                                 at() };
    const TimePoint now = at();
    const StallDecision decision = policy.Decide(now, it);
    const auto* retire = std::get_if<RetireConnection>(&decision);
    const bool due = it.mInFlight && now - it.mLastProgress >= seconds(2);
    RC_ASSERT((retire != nullptr) == due);
    if (retire != nullptr) {
      RC_ASSERT(retire->mUpstreamUnreachable ==
                (it.mLastConnectFailure > it.mLastConnect));
    } else {
      RC_ASSERT(std::get<KeepConnection>(decision).mCheckAt > now);
    }
  });
}
