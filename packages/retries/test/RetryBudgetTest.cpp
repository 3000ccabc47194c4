#include "retries/Retries.h"

#include "base/test/support/Property.h"

#include <algorithm>
#include <vector>

using namespace auburnmux;
using namespace auburnmux::retries;
using base::TimePoint;
using base::WorkClass;
using base::WorkKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart(std::chrono::hours(1));

/** \returns the most credit that requests at the given times (ms) can earn. */
double Earnable(const std::vector<int>& aTimes, int aEnd,
                BudgetSettings aBudget)
{
  std::vector<int> perSecond(static_cast<std::size_t>(aEnd / 1000 + 1), 0);
  for (const int it : aTimes) {
    ++perSecond[static_cast<std::size_t>(it / 1000)];
  }
  double sum = 0;
  for (const int it : perSecond) {
    sum += std::max(aBudget.mFraction * it, aBudget.mFloorPerSecond);
  }
  return sum;
}

HedgeContext Hedgeable()
{
  HedgeContext context;
  context.mKind = WorkKind::Idempotent;
  context.mElapsed = milliseconds(100);
  context.mRemaining = seconds(1);
  return context;
}

} // namespace

TEST_GROUP(RetryBudget){};

// Guards against retries that amplify an overload, for any order of requests
// and retries, including bursts and pauses.
TEST(RetryBudget, NeverSpendsMoreThanItEarned)
{
  CHECK_PROPERTY("retries within the budget", [](std::uint64_t aSeed) {
    base::Random random(aSeed);
    const BudgetSettings settings{ random.Below(2) == 0 ? 0.1 : 0.05,
                                   random.Below(2) == 0 ? 1.0 : 0.0 };
    RetryBudget budget(settings);
    std::vector<int> requests;
    int now = 0;
    int spent = 0;
    budget.OnRequest(kStart);
    requests.push_back(0);
    for (int i = 0; i < 2000; ++i) {
      const std::uint64_t pause = random.Below(200);
      now += static_cast<int>(pause == 0  ? random.Below(5000)
                              : pause < 9 ? random.Below(300)
                                          : random.Below(2));
      const TimePoint time = kStart + milliseconds(now);
      if (random.Below(2) == 0) {
        budget.OnRequest(time);
        requests.push_back(now);
      } else {
        spent += budget.TrySpend(time) ? 1 : 0;
      }
      RC_ASSERT(spent <= Earnable(requests, now, settings) + 1e-6);
    }
  });
}

// Guards against a budget that never allows a retry at a low request rate, and
// against one that accumulates credit during an hour without traffic.
TEST(RetryBudget, FloorIsOneASecondWithoutSaving)
{
  RetryBudget budget;
  budget.OnRequest(kStart);
  CHECK_TRUE(budget.TrySpend(kStart));
  CHECK_FALSE(budget.TrySpend(kStart + milliseconds(900)));
  CHECK_TRUE(budget.TrySpend(kStart + seconds(1)));
  int spent = 0;
  while (budget.TrySpend(kStart + seconds(3600))) {
    ++spent;
  }
  CHECK_TRUE(spent <= 2);
  for (int i = 0; i < 10000; ++i) {
    budget.OnRequest(kStart + seconds(7200) + milliseconds(i));
  }
  // 100 are earned per second, and the credit of one earlier second is kept.
  spent = 0;
  while (budget.TrySpend(kStart + seconds(7209) + milliseconds(999))) {
    ++spent;
  }
  CHECK_TRUE(spent >= 190 && spent <= 201);
}

// Guards against a budget that allows less than its fraction of requests.
TEST(RetryBudget, TenthOfRequestsMayBeRetried)
{
  RetryBudget budget;
  int spent = 0;
  for (int i = 0; i < 10000; ++i) {
    const TimePoint time = kStart + milliseconds(i);
    budget.OnRequest(time);
    spent += budget.TrySpend(time) ? 1 : 0;
  }
  CHECK_TRUE(spent >= 980 && spent <= 1001);
}

TEST_GROUP(HedgePolicy){};

// Guards against hedging non-idempotent work, hedging a request twice, and
// hedging when the upstreams are saturated.
TEST(HedgePolicy, HedgesOnlyLateIdempotentFirstAttempts)
{
  CHECK_PROPERTY("conditions of a hedge", [] {
    HedgePolicy policy({ 1, 100 });
    policy.OnRequest(kStart);
    for (int i = 1; i <= 100; ++i) {
      policy.OnLatency(WorkClass::Short, milliseconds(i));
    }
    HedgeContext it;
    it.mKind = *rc::gen::element(WorkKind::Idempotent, WorkKind::NonIdempotent);
    it.mAttempts = *rc::gen::inRange<std::uint32_t>(1, 3);
    it.mForwarded = *rc::gen::arbitrary<bool>();
    it.mSaturated = *rc::gen::arbitrary<bool>();
    it.mElapsed = milliseconds(*rc::gen::inRange(0, 200));
    it.mRemaining = milliseconds(*rc::gen::inRange(0, 200));
    const bool late = it.mElapsed >= *policy.Delay(WorkClass::Short);
    const bool expected = it.mKind == WorkKind::Idempotent &&
                          it.mAttempts == 1 && !it.mForwarded &&
                          !it.mSaturated && late &&
                          it.mRemaining >= *policy.Median(WorkClass::Short);
    RC_ASSERT(policy.ShouldHedge(kStart, it) == expected);
  });
}

// Guards against a delay computed from another class, from too few samples or
// from outdated ones.
TEST(HedgePolicy, DelayFollowsRecentLatencyOfTheClass)
{
  HedgePolicy policy;
  for (int i = 1; i < 20; ++i) {
    policy.OnLatency(WorkClass::Short, milliseconds(10));
  }
  CHECK_FALSE(policy.Delay(WorkClass::Short).has_value());
  for (int i = 0; i < 600; ++i) {
    policy.OnLatency(WorkClass::Short, milliseconds(10));
    policy.OnLatency(WorkClass::Long, milliseconds(900));
  }
  CHECK_TRUE(*policy.Delay(WorkClass::Short) == milliseconds(10));
  CHECK_TRUE(*policy.Delay(WorkClass::Long) == milliseconds(900));
  for (int i = 0; i < 600; ++i) {
    policy.OnLatency(WorkClass::Short, milliseconds(20));
  }
  CHECK_TRUE(*policy.Delay(WorkClass::Short) == milliseconds(20));
}

// Guards against hedging more than 5% of requests when all of them are slow.
TEST(HedgePolicy, BudgetBoundsHedges)
{
  HedgePolicy policy;
  int hedges = 0;
  for (int i = 0; i < 2000; ++i) {
    const TimePoint now = kStart + milliseconds(i);
    policy.OnRequest(now);
    policy.OnLatency(WorkClass::Short, milliseconds(10));
    hedges += policy.ShouldHedge(now, Hedgeable()) ? 1 : 0;
  }
  CHECK_TRUE(hedges >= 90 && hedges <= 100);
}
