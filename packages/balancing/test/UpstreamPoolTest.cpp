#include "balancing/Balancing.h"

#include "base/test/support/Property.h"

#include <map>
#include <string>

using namespace auburnmux;
using namespace auburnmux::balancing;
using base::AttemptId;
using base::FailureKind;
using base::UpstreamId;
using base::WorkClass;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const UpstreamId kFirst("u0");

} // namespace

TEST_GROUP(UpstreamPool)
{
  void Configure(std::uint32_t aCount, std::uint32_t aSlots = 4)
  {
    std::vector<UpstreamSpec> specs;
    for (std::uint32_t i = 0; i < aCount; ++i) {
      specs.push_back({ UpstreamId("u" + std::to_string(i)),
                        base::SlotCount(aSlots), base::ConnectionCount(400),
                        false });
    }
    mPool.Configure(mNow, specs);
  }

  AttemptId Start(const UpstreamId& aUpstream)
  {
    const AttemptId attempt(++mNext);
    mPool.OnStart(mNow, attempt, aUpstream, WorkClass::Short);
    return attempt;
  }

  void Serve(const UpstreamId& aUpstream, milliseconds aLatency)
  {
    mPool.OnSuccess(mNow, mRandom, Start(aUpstream), aLatency);
  }

  void Fail(const UpstreamId& aUpstream, FailureKind aKind)
  {
    mPool.OnFailure(mNow, mRandom, Start(aUpstream), aKind);
  }

  void ServeAll(std::uint32_t aCount, milliseconds aLatency)
  {
    for (int round = 0; round < 10; ++round) {
      for (std::uint32_t i = 0; i < aCount; ++i) {
        Serve(UpstreamId("u" + std::to_string(i)), aLatency);
      }
    }
  }

  UpstreamStatus At(const UpstreamId& aId)
  {
    for (const UpstreamStatus& it : mPool.Status(mNow)) {
      if (it.mId == aId) {
        return it;
      }
    }
    return {};
  }

  /** Picks without starting, and counts picks of the first upstream. */
  int CountFirst(int aPicks,
                 base::WorkKind aKind = base::WorkKind::NonIdempotent)
  {
    int count = 0;
    for (int i = 0; i < aPicks; ++i) {
      const PickResult it =
        mPool.Pick(mNow, mRandom, { WorkClass::Short, aKind, {} });
      const auto* choice = std::get_if<Choice>(&it);
      count += choice != nullptr && choice->mUpstream == kFirst ? 1 : 0;
    }
    return count;
  }

  base::TimePoint mNow{ std::chrono::hours(1) };
  base::Random mRandom{ 7 };
  UpstreamPool mPool;
  std::uint64_t mNext = 0;
};

// Guards against waiting for a slow request's end before avoiding its
// upstream.
TEST(UpstreamPool, OverdueRequestRaisesTheCostAtOnce)
{
  Configure(3);
  ServeAll(3, milliseconds(10));
  const AttemptId attempt = Start(kFirst);
  const double early = At(kFirst).mCost;
  mNow += milliseconds(60);
  CHECK_TRUE(At(kFirst).mCost > 2 * early);
  LONGS_EQUAL(0, CountFirst(100));
  mPool.OnFirstByte(mNow, attempt);
  CHECK_TRUE(At(kFirst).mCost < 1.5 * early);
}

// Guards against one straggler that takes its upstream out of use.
TEST(UpstreamPool, LoneStragglerMovesTheEstimateLittle)
{
  Configure(3);
  ServeAll(3, milliseconds(10));
  mNow += milliseconds(10);
  Serve(kFirst, seconds(3));
  CHECK_TRUE(At(kFirst).mLatency < milliseconds(20));
  Serve(kFirst, seconds(3));
  CHECK_TRUE(At(kFirst).mLatency >= seconds(3));
}

// Guards against an upstream that is avoided forever after one bad moment.
TEST(UpstreamPool, AvoidedUpstreamIsTriedAgain)
{
  Configure(3);
  ServeAll(3, milliseconds(10));
  Serve(kFirst, milliseconds(70));
  LONGS_EQUAL(0, CountFirst(200));
  mNow += std::chrono::minutes(2);
  CHECK_TRUE(CountFirst(200) > 30);
}

// Guards against slow, dead and unreachable upstreams that look the same to
// operators and to recovery.
TEST(UpstreamPool, TellsSlowDeadAndUnreachableApart)
{
  Configure(9);
  ServeAll(9, milliseconds(10));
  for (int i = 0; i < 12; ++i) {
    Serve(kFirst, milliseconds(100));
  }
  for (int i = 0; i < 3; ++i) {
    Fail(UpstreamId("u1"), FailureKind::Refused);
    Fail(UpstreamId("u2"), FailureKind::ConnectTimeout);
  }
  CHECK_TRUE(At(kFirst).mCondition == Condition::Slow);
  CHECK_TRUE(At(UpstreamId("u1")).mCondition == Condition::Dead);
  CHECK_TRUE(At(UpstreamId("u2")).mCondition == Condition::Unreachable);
  CHECK_TRUE(At(kFirst).mEjected && At(UpstreamId("u1")).mEjected &&
             At(UpstreamId("u2")).mEjected);
}

// Guards against marking an upstream for one silent connection or for
// shedding.
TEST(UpstreamPool, StalledAndNotStartedDoNotEject)
{
  Configure(3);
  for (int i = 0; i < 20; ++i) {
    Fail(kFirst, FailureKind::Stalled);
    Fail(kFirst, FailureKind::NotStarted);
  }
  CHECK_FALSE(At(kFirst).mEjected);
  CHECK_TRUE(At(kFirst).mCondition == Condition::Working);
}

// Guards against a failing upstream that draws traffic because its failures
// are fast, while the ejection bound keeps it in the pool.
TEST(UpstreamPool, DeadUpstreamOfTwoIsAvoidedThoughNotEjected)
{
  Configure(2);
  ServeAll(2, milliseconds(10));
  for (int i = 0; i < 5; ++i) {
    Fail(kFirst, FailureKind::Refused);
  }
  CHECK_FALSE(At(kFirst).mEjected);
  LONGS_EQUAL(0, CountFirst(100));
}

// Guards against recovery by user traffic that may not be repeated, and
// against many probes at once.
TEST(UpstreamPool, RecoversByOneIdempotentProbeAndSlowStart)
{
  Configure(3, 10);
  ServeAll(3, milliseconds(10));
  for (int i = 0; i < 3; ++i) {
    Fail(kFirst, FailureKind::Reset);
  }
  CHECK_TRUE(At(kFirst).mEjected);
  LONGS_EQUAL(0, CountFirst(50, base::WorkKind::Idempotent));
  mNow += seconds(2);
  LONGS_EQUAL(0, CountFirst(50));
  LONGS_EQUAL(1, CountFirst(1, base::WorkKind::Idempotent));
  const AttemptId probe = Start(kFirst);
  LONGS_EQUAL(0, CountFirst(50, base::WorkKind::Idempotent));
  mPool.OnSuccess(mNow, mRandom, probe, milliseconds(10));
  CHECK_FALSE(At(kFirst).mEjected);
  LONGS_EQUAL(1, At(kFirst).mAllowed.Count());
  mNow += seconds(5);
  LONGS_EQUAL(6, At(kFirst).mAllowed.Count());
  mNow += seconds(5);
  LONGS_EQUAL(10, At(kFirst).mAllowed.Count());
}

// Guards against an upstream that answers a probe late and returns slow.
TEST(UpstreamPool, SlowProbeDelaysTheNext)
{
  Configure(3);
  ServeAll(3, milliseconds(10));
  for (int i = 0; i < 3; ++i) {
    Fail(kFirst, FailureKind::Reset);
  }
  mNow += seconds(2);
  Serve(kFirst, milliseconds(100));
  CHECK_TRUE(At(kFirst).mEjected);
  mNow += milliseconds(1900);
  LONGS_EQUAL(0, CountFirst(1, base::WorkKind::Idempotent));
  mNow += milliseconds(700);
  LONGS_EQUAL(1, CountFirst(1, base::WorkKind::Idempotent));
}

// Guards against requests that wait for a free slot while a slow upstream
// could have answered them.
TEST(UpstreamPool, WaitingRequestsBringBackASlowUpstream)
{
  Configure(3);
  ServeAll(3, milliseconds(10));
  for (int i = 0; i < 12; ++i) {
    Serve(kFirst, milliseconds(100));
  }
  CHECK_TRUE(At(kFirst).mEjected);
  mPool.OnWaiting(mNow, 5);
  mNow += milliseconds(50);
  CountFirst(1);
  CHECK_TRUE(At(kFirst).mEjected);
  mNow += milliseconds(60);
  CountFirst(1);
  CHECK_FALSE(At(kFirst).mEjected);
}

// Guards against a lagging health endpoint that brings a leaving upstream
// back.
TEST(UpstreamPool, LeavingUpstreamReturnsOnlyLongAfterItsSign)
{
  Configure(2, 1);
  Start(UpstreamId("u1"));
  mPool.OnLeavingSign(mNow, kFirst);
  mNow += seconds(10);
  mPool.OnReadySign(mNow, kFirst);
  LONGS_EQUAL(0, CountFirst(100));
  mNow += seconds(30);
  mPool.OnReadySign(mNow, kFirst);
  LONGS_EQUAL(100, CountFirst(100));
}

// Guards against a configuration update that makes the host forget what it
// knows, or that loads a new upstream at once.
TEST(UpstreamPool, ConfigurationUpdateKeepsSignals)
{
  Configure(3, 10);
  ServeAll(3, milliseconds(40));
  const AttemptId attempt = Start(kFirst);
  Configure(4, 10);
  CHECK_TRUE(At(kFirst).mLatency == milliseconds(40));
  LONGS_EQUAL(1, At(kFirst).mInFlight.Count());
  LONGS_EQUAL(10, At(kFirst).mAllowed.Count());
  LONGS_EQUAL(1, At(UpstreamId("u3")).mAllowed.Count());
  mPool.OnSuccess(mNow, mRandom, attempt, milliseconds(40));
  LONGS_EQUAL(0, At(kFirst).mInFlight.Count());
}

// Guards against reports that outweigh what requests show.
TEST(UpstreamPool, LoadReportChangesTheCostByAQuarterAtMost)
{
  Configure(2);
  ServeAll(2, milliseconds(10));
  const double before = At(kFirst).mCost;
  mPool.OnLoadReport(mNow, kFirst, seconds(0), 1e9);
  CHECK_TRUE(At(kFirst).mCost <= 1.25 * before + 1e-9);
  mPool.OnLoadReport(mNow, kFirst, seconds(5), 0);
  CHECK_TRUE(At(kFirst).mCost > before);
}

// Guards against the two pools diverging in what a caller can do with them.
TEST(UpstreamPool, BothPoolsServeThroughTheVariant)
{
  for (Pool pool : { Pool(UpstreamPool()), Pool(RoundRobinPool()) }) {
    const UpstreamSpec spec{ kFirst, base::SlotCount(1),
                             base::ConnectionCount(1), false };
    With(pool, [&](auto& aIt) { aIt.Configure(mNow, { spec }); });
    const PickResult first = Pick(pool, mNow, mRandom, {});
    CHECK_TRUE(std::holds_alternative<Choice>(first));
    With(pool, [&](auto& aIt) {
      aIt.OnStart(mNow, AttemptId(1), kFirst, WorkClass::Short);
    });
    CHECK_TRUE(std::holds_alternative<AllBusy>(Pick(pool, mNow, mRandom, {})));
    With(pool, [&](auto& aIt) {
      aIt.OnLeavingSign(mNow, kFirst);
      aIt.OnCancel(mNow, mRandom, AttemptId(1));
    });
    CHECK_TRUE(
      std::holds_alternative<NoneUsable>(Pick(pool, mNow, mRandom, {})));
  }
}
