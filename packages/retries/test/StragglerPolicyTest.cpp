#include "retries/Retries.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::retries;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kWork(200);
constexpr milliseconds kTarget(600);

/** Results of a simulated run in which a few percent of attempts straggle. */
struct Served
{
  int mInTime = 0;
  int mResent = 0;
  base::Duration mSlotTime{};
};

/** Draws the duration of one attempt. */
base::Duration DrawRun(base::Random& aRandom)
{
  const double spread = 0.8 + 0.4 * aRandom.Fraction();
  const double tail = aRandom.Below(100) < 3 ? 7 : 1;
  return std::chrono::duration_cast<base::Duration>(kWork * spread * tail);
}

Served Play(std::uint64_t aSeed, bool aUsesPolicy)
{
  constexpr int kRequests = 4000;
  base::Random random(aSeed);
  StragglerPolicy policy;
  Served served;
  for (int i = 0; i < kRequests; ++i) {
    const TimePoint now(std::chrono::hours(1) + milliseconds(10 * i));
    policy.OnRequest(now);
    base::Duration run = DrawRun(random);
    base::Duration total = run;
    const auto threshold = policy.Threshold(kWork, kTarget);
    if (aUsesPolicy && threshold && run > *threshold && policy.TrySpend(now)) {
      policy.OnEnded(kWork, *threshold);
      run = DrawRun(random);
      total = *threshold + run;
      ++served.mResent;
    }
    policy.OnEnded(kWork, run);
    served.mSlotTime += total;
    served.mInTime += total <= kTarget ? 1 : 0;
  }
  return served;
}

} // namespace

TEST_GROUP(StragglerPolicy){};

TEST(StragglerPolicy, StragglersAreServedInTimeAndFreeTheirSlots)
{
  CHECK_PROPERTY("three percent straggle", [](std::uint64_t aSeed) {
    const Served without = Play(aSeed, false);
    const Served with = Play(aSeed, true);
    RC_ASSERT(with.mInTime >= without.mInTime + 60); // of about 120 stragglers
    RC_ASSERT(with.mSlotTime < without.mSlotTime);
    RC_ASSERT(with.mResent <= 4000 * 8 / 100);
  });
}

// Guards against replacing attempts when all work takes four times its
// estimate, as in the first second after a cold start: new attempts gain
// nothing.
TEST(StragglerPolicy, UniformSlownessIsNotStraggling)
{
  StragglerPolicy policy;
  CHECK_FALSE(policy.Threshold(kWork, kTarget).has_value());
  for (int i = 0; i < 200; ++i) {
    policy.OnEnded(kWork, 4 * kWork);
  }
  CHECK_TRUE(*policy.Threshold(kWork, kTarget) >= 4 * kWork);
}

// Guards against replacing attempts too late when noisy neighbours slow down an
// upstream briefly: a new attempt elsewhere helps only if it can still finish
// in time.
TEST(StragglerPolicy, GivesUpAtTheLastMomentThatLeavesTimeForANewAttempt)
{
  StragglerPolicy policy;
  for (int i = 0; i < 200; ++i) {
    policy.OnEnded(kWork, i % 10 == 0 ? 3 * kWork : kWork);
  }
  const auto threshold = [&](milliseconds aInTime) {
    return std::chrono::round<milliseconds>(*policy.Threshold(kWork, aInTime));
  };
  CHECK_TRUE(threshold(milliseconds(600)) == milliseconds(350));
  CHECK_TRUE(threshold(milliseconds(560)) == milliseconds(310));
  CHECK_TRUE(threshold(milliseconds(400)) == milliseconds(600));
}

TEST(StragglerPolicy, BudgetIsAShareOfTheRequests)
{
  StragglerPolicy policy;
  const TimePoint start(std::chrono::hours(1));
  int spent = 0;
  for (int i = 0; i < 5000; ++i) {
    const TimePoint now = start + milliseconds(2 * i);
    policy.OnRequest(now);
    spent += policy.TrySpend(now) ? 1 : 0;
  }
  CHECK_TRUE(spent <= 400);
  CHECK_TRUE(spent >= 350);
}
