#include "objects/Objects.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::objects;

TEST_GROUP(CallBudget){};

// Guards against a fault that makes a host call the platform without limit, or
// that blocks the calls for another purpose.
TEST(CallBudget, NeverExceedsRateAndBurst)
{
  CHECK_PROPERTY("calls in any window", []() {
    CallRates rates = DefaultCallRates();
    rates[0] = { 2, 5 };
    CallBudget budget(rates);
    base::TimePoint now{ std::chrono::seconds(1000) };
    const base::TimePoint start = now;
    std::uint64_t n = 0;
    for (int it = 0; it < 200; ++it) {
      n += budget.Take(CallPurpose::ConfigWatch, now) ? 1 : 0;
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
    }
    const std::chrono::duration<double> passed = now - start;
    RC_ASSERT(static_cast<double>(n) <= 5 + 2 * passed.count());
    const CallCounts& counts = budget.Counts(CallPurpose::ConfigWatch);
    RC_ASSERT(counts.mMade == n);
    RC_ASSERT(counts.mRefused == 200 - n);
    RC_ASSERT(budget.Take(CallPurpose::Claims, now));
  });
}

TEST_GROUP(Backoff){};

// Guards against synchronised retries, and against an overflow after many
// failures.
TEST(Backoff, StaysWithinTheGrowingBound)
{
  CHECK_PROPERTY("bounds", [](std::uint64_t aSeed) {
    base::Random random(aSeed);
    Backoff backoff(std::chrono::milliseconds(10), std::chrono::seconds(1));
    base::Duration bound = std::chrono::milliseconds(10);
    for (int it = 0; it < 200; ++it) {
      const base::Duration delay = backoff.Next(random);
      RC_ASSERT(delay >= base::Duration::zero());
      RC_ASSERT(delay <= bound);
      bound = std::min<base::Duration>(bound * 2, std::chrono::seconds(1));
    }
    backoff.Reset();
    RC_ASSERT(backoff.Next(random) <= std::chrono::milliseconds(10));
  });
}

TEST(Backoff, ReachesTheCap)
{
  base::Random random(1);
  Backoff backoff(std::chrono::milliseconds(10), std::chrono::seconds(1));
  base::Duration longest{};
  for (int it = 0; it < 200; ++it) {
    longest = std::max(longest, backoff.Next(random));
  }
  CHECK_TRUE(longest > std::chrono::milliseconds(900));
}

// Guards against all hosts calling at once when the platform recovers.
TEST(Backoff, ReconnectDelayGrowsWithTheNumberOfHosts)
{
  base::Random random(1);
  const auto longest = [&random](std::uint32_t aHosts) {
    base::Duration delay{};
    for (int it = 0; it < 500; ++it) {
      delay = std::max(delay, ReconnectDelay(HostCount(aHosts), random));
    }
    return delay;
  };
  CHECK_TRUE(longest(7) <= std::chrono::milliseconds(70));
  CHECK_TRUE(longest(1500) > std::chrono::seconds(13));
  CHECK_TRUE(longest(1500) <= std::chrono::seconds(15));
  CHECK_TRUE(longest(1000000) <= std::chrono::seconds(60));
}
