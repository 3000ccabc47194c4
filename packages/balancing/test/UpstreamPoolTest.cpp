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
    const AttemptId attempt(++mNextId);
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

  UpstreamStatus StatusOf(const UpstreamId& aId)
  {
    for (const UpstreamStatus& it : mPool.Status(mNow)) {
      if (it.mId == aId) {
        return it;
      }
    }
    return {};
  }

  /** Picks without starting attempts. \returns how often the first upstream was
   * picked. */
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
  std::uint64_t mNextId = 0;
};

// Guards against avoiding a slow upstream only after its request has ended.
TEST(UpstreamPool, OverdueRequestRaisesTheCostAtOnce)
{
  Configure(3);
  ServeAll(3, milliseconds(10));
  const AttemptId attempt = Start(kFirst);
  const double early = StatusOf(kFirst).mCost;
  mNow += milliseconds(60);
  CHECK_TRUE(StatusOf(kFirst).mCost > 2 * early);
  LONGS_EQUAL(0, CountFirst(100));
  mPool.OnFirstByte(mNow, attempt);
  CHECK_TRUE(StatusOf(kFirst).mCost < 1.5 * early);
}

// Guards against a single straggler that keeps requests away from its upstream.
TEST(UpstreamPool, LoneStragglerMovesTheEstimateLittle)
{
  Configure(3);
  ServeAll(3, milliseconds(10));
  mNow += milliseconds(10);
  Serve(kFirst, seconds(3));
  CHECK_TRUE(StatusOf(kFirst).mLatency < milliseconds(20));
  Serve(kFirst, seconds(3));
  CHECK_TRUE(StatusOf(kFirst).mLatency >= seconds(3));
}

// Guards against an upstream that is avoided forever after one slow request.
TEST(UpstreamPool, AvoidedUpstreamIsTriedAgain)
{
  Configure(3);
  ServeAll(3, milliseconds(10));
  Serve(kFirst, milliseconds(70));
  LONGS_EQUAL(0, CountFirst(200));
  mNow += std::chrono::minutes(2);
  CHECK_TRUE(CountFirst(200) > 30);
}

// Guards against reporting slow, dead and unreachable upstreams with the same
// health, which operators and readmission tell apart.
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
  CHECK_TRUE(StatusOf(kFirst).mHealth == HealthState::Slow);
  CHECK_TRUE(StatusOf(UpstreamId("u1")).mHealth == HealthState::Dead);
  CHECK_TRUE(StatusOf(UpstreamId("u2")).mHealth == HealthState::Unreachable);
  CHECK_TRUE(StatusOf(kFirst).mEjected && StatusOf(UpstreamId("u1")).mEjected &&
             StatusOf(UpstreamId("u2")).mEjected);
}

// Guards against ejecting an upstream for stalled connections or shed requests.
TEST(UpstreamPool, StalledAndNotStartedDoNotEject)
{
  Configure(3);
  for (int i = 0; i < 20; ++i) {
    Fail(kFirst, FailureKind::Stalled);
    Fail(kFirst, FailureKind::NotStarted);
  }
  CHECK_FALSE(StatusOf(kFirst).mEjected);
  CHECK_TRUE(StatusOf(kFirst).mHealth == HealthState::Working);
}

// Guards against a failing upstream that attracts requests because its failures
// are fast, when the limit on ejections keeps it in the pool.
TEST(UpstreamPool, DeadUpstreamOfTwoIsAvoidedThoughNotEjected)
{
  Configure(2);
  ServeAll(2, milliseconds(10));
  for (int i = 0; i < 5; ++i) {
    Fail(kFirst, FailureKind::Refused);
  }
  CHECK_FALSE(StatusOf(kFirst).mEjected);
  LONGS_EQUAL(0, CountFirst(100));
}

// Guards against probes with non-idempotent requests and against several probes
// at once.
TEST(UpstreamPool, RecoversByOneIdempotentProbeAndSlowStart)
{
  Configure(3, 10);
  ServeAll(3, milliseconds(10));
  for (int i = 0; i < 3; ++i) {
    Fail(kFirst, FailureKind::Reset);
  }
  CHECK_TRUE(StatusOf(kFirst).mEjected);
  LONGS_EQUAL(0, CountFirst(50, base::WorkKind::Idempotent));
  mNow += seconds(2);
  LONGS_EQUAL(0, CountFirst(50));
  LONGS_EQUAL(1, CountFirst(1, base::WorkKind::Idempotent));
  const AttemptId probe = Start(kFirst);
  LONGS_EQUAL(0, CountFirst(50, base::WorkKind::Idempotent));
  mPool.OnSuccess(mNow, mRandom, probe, milliseconds(10));
  CHECK_FALSE(StatusOf(kFirst).mEjected);
  LONGS_EQUAL(1, StatusOf(kFirst).mUsableSlots.Count());
  mNow += seconds(5);
  LONGS_EQUAL(6, StatusOf(kFirst).mUsableSlots.Count());
  mNow += seconds(5);
  LONGS_EQUAL(10, StatusOf(kFirst).mUsableSlots.Count());
}

// Guards against readmitting an upstream that answers its probe slowly.
TEST(UpstreamPool, SlowProbeDelaysTheNext)
{
  Configure(3);
  ServeAll(3, milliseconds(10));
  for (int i = 0; i < 3; ++i) {
    Fail(kFirst, FailureKind::Reset);
  }
  mNow += seconds(2);
  Serve(kFirst, milliseconds(100));
  CHECK_TRUE(StatusOf(kFirst).mEjected);
  mNow += milliseconds(1900);
  LONGS_EQUAL(0, CountFirst(1, base::WorkKind::Idempotent));
  mNow += milliseconds(700);
  LONGS_EQUAL(1, CountFirst(1, base::WorkKind::Idempotent));
}

// Guards against requests that stay queued for longer than an ejected slow
// upstream would take to answer them.
TEST(UpstreamPool, WaitingRequestsBringBackASlowUpstream)
{
  Configure(3);
  ServeAll(3, milliseconds(10));
  for (int i = 0; i < 12; ++i) {
    Serve(kFirst, milliseconds(100));
  }
  CHECK_TRUE(StatusOf(kFirst).mEjected);
  mPool.OnQueueLength(mNow, 5);
  mNow += milliseconds(50);
  CountFirst(1);
  CHECK_TRUE(StatusOf(kFirst).mEjected);
  mNow += milliseconds(60);
  CountFirst(1);
  CHECK_FALSE(StatusOf(kFirst).mEjected);
}

// Guards against readmitting a leaving upstream because its health endpoint
// still reports it ready.
TEST(UpstreamPool, LeavingUpstreamReturnsOnlyLongAfterItsSign)
{
  Configure(2, 1);
  Start(UpstreamId("u1"));
  mPool.OnLeavingSignal(mNow, kFirst);
  mNow += seconds(10);
  mPool.OnReadySignal(mNow, kFirst);
  LONGS_EQUAL(0, CountFirst(100));
  mNow += seconds(30);
  mPool.OnReadySignal(mNow, kFirst);
  LONGS_EQUAL(100, CountFirst(100));
}

// Guards against a configuration update that resets statistics, or that sends
// full load to a new upstream without slow start.
TEST(UpstreamPool, ConfigurationUpdateKeepsSignals)
{
  Configure(3, 10);
  ServeAll(3, milliseconds(40));
  const AttemptId attempt = Start(kFirst);
  Configure(4, 10);
  CHECK_TRUE(StatusOf(kFirst).mLatency == milliseconds(40));
  LONGS_EQUAL(1, StatusOf(kFirst).mInFlight.Count());
  LONGS_EQUAL(10, StatusOf(kFirst).mUsableSlots.Count());
  LONGS_EQUAL(1, StatusOf(UpstreamId("u3")).mUsableSlots.Count());
  mPool.OnSuccess(mNow, mRandom, attempt, milliseconds(40));
  LONGS_EQUAL(0, StatusOf(kFirst).mInFlight.Count());
}

// Guards against load reports that outweigh measured latency.
TEST(UpstreamPool, LoadReportChangesTheCostByAQuarterAtMost)
{
  Configure(2);
  ServeAll(2, milliseconds(10));
  const double before = StatusOf(kFirst).mCost;
  mPool.OnLoadReport(mNow, kFirst, seconds(0), 1e9);
  CHECK_TRUE(StatusOf(kFirst).mCost <= 1.25 * before + 1e-9);
  mPool.OnLoadReport(mNow, kFirst, seconds(5), 0);
  CHECK_TRUE(StatusOf(kFirst).mCost > before);
}

// Guards against different interfaces of the two pools.
TEST(UpstreamPool, BothPoolsServeThroughTheVariant)
{
  for (Pool pool : { Pool(UpstreamPool()), Pool(RoundRobinPool()) }) {
    const UpstreamSpec spec{ kFirst, base::SlotCount(1),
                             base::ConnectionCount(1), false };
    VisitPool(pool, [&](auto& aIt) { aIt.Configure(mNow, { spec }); });
    const PickResult first = Pick(pool, mNow, mRandom, {});
    CHECK_TRUE(std::holds_alternative<Choice>(first));
    VisitPool(pool, [&](auto& aIt) {
      aIt.OnStart(mNow, AttemptId(1), kFirst, WorkClass::Short);
    });
    CHECK_TRUE(std::holds_alternative<AllBusy>(Pick(pool, mNow, mRandom, {})));
    VisitPool(pool, [&](auto& aIt) {
      aIt.OnLeavingSignal(mNow, kFirst);
      aIt.OnCancel(mNow, mRandom, AttemptId(1));
    });
    CHECK_TRUE(
      std::holds_alternative<NoneUsable>(Pick(pool, mNow, mRandom, {})));
  }
}
