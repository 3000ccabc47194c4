#include "limits/Limits.h"

#include "base/test/support/Property.h"

#include <algorithm>
#include <vector>

using namespace auburnmux;
using namespace auburnmux::limits;
using base::SlotCount;
using std::chrono::milliseconds;

namespace {

void Feed(ConcurrencyLimit& aLimit, int aCount, int aLatency, bool aWaiting)
{
  for (int i = 0; i < aCount; ++i) {
    aLimit.OnSample(milliseconds(aLatency), aWaiting);
  }
}

} // namespace

TEST_GROUP(ConcurrencyLimit){};

// Guards against more concurrent requests than this host's share, and against a
// limit of 0, which could never recover because no request would be sampled.
TEST(ConcurrencyLimit, StaysBetweenOneAndTheShare)
{
  CHECK_PROPERTY(
    "1 <= limit <= share", [](const std::vector<std::uint32_t>& aEvents) {
      ConcurrencyLimit limit(
        SlotCount(*rc::gen::inRange<std::uint32_t>(0, 12)));
      for (const std::uint32_t it : aEvents) {
        if (it % 11 == 0) {
          limit.OnShed();
        } else if (it % 7 == 0) {
          limit.SetShare(SlotCount(it % 13));
        } else {
          Feed(limit, 1 + it % 20, 1 + it % 997, it % 2 == 0);
        }
        RC_ASSERT(limit.Limit() <= limit.Share());
        RC_ASSERT(limit.Limit().Count() >= std::min(1U, limit.Share().Count()));
      }
    });
}

// Guards against a host that keeps overloading an upstream whose latency
// indicates queueing, and against a limit that never returns to the share.
TEST(ConcurrencyLimit, FallsWithLatencyAndReturnsToTheShare)
{
  ConcurrencyLimit limit(SlotCount(9));
  Feed(limit, 100, 20, true);
  LONGS_EQUAL(9, limit.Limit().Count());
  Feed(limit, 60, 200, true);
  CHECK_TRUE(limit.Limit().Count() <= 5);
  Feed(limit, 60, 20, true);
  LONGS_EQUAL(9, limit.Limit().Count());
}

// Guards against decreasing the limit because of single stragglers.
TEST(ConcurrencyLimit, StragglersDoNotLowerTheLimit)
{
  ConcurrencyLimit limit(SlotCount(9));
  for (int i = 0; i < 50; ++i) {
    Feed(limit, 9, 20, false);
    Feed(limit, 1, 2000, false);
  }
  LONGS_EQUAL(9, limit.Limit().Count());
}

TEST_GROUP(ClassLimits){};

// Guards against long work (uploads) that takes the slots reserved for short
// work (checks), and against short work that starves waiting long work.
TEST(ClassLimits, ReservationsHoldOverAnyHistory)
{
  CHECK_PROPERTY("class bounds", [](std::uint64_t aSeed) {
    base::Random random(aSeed);
    ClassLimits limits({ SlotCount(10), SlotCount(5), SlotCount(2) });
    for (int i = 0; i < 300; ++i) {
      const auto it = static_cast<base::WorkClass>(random.Below(2));
      if (random.Below(3) > 0) {
        limits.TryAcquire(it);
      } else if (limits.InUse(it).Count() > 0) {
        limits.Release(it);
      }
      limits.SetWaiting(base::WorkClass::Long, random.Below(2) == 0);
      const auto shorts = limits.InUse(base::WorkClass::Short).Count();
      const auto longs = limits.InUse(base::WorkClass::Long).Count();
      RC_ASSERT(shorts + longs <= 10U);
      RC_ASSERT(longs <= 5U);
      limits.SetWaiting(base::WorkClass::Long, true);
      const auto free = limits.Free(base::WorkClass::Short).Count();
      RC_ASSERT(free == 0 || shorts + free <= 8U);
    }
  });
}

TEST_GROUP(StragglerBound){};

// Guards against stragglers that occupy most of an upstream's slots, and
// against cancelling work that can't be repeated.
TEST(StragglerBound, KeepsAtMostHalfOfTheShare)
{
  CHECK_PROPERTY("bound on stragglers", [] {
    const SlotCount share(*rc::gen::inRange<std::uint32_t>(1, 12));
    const base::TimePoint now(std::chrono::hours(1));
    std::vector<RunningRequest> running;
    std::uint32_t fixed = 0;
    for (std::uint64_t i = 0; i < share.Count(); ++i) {
      const auto age = *rc::gen::inRange(1, 1000);
      const bool cancellable = *rc::gen::arbitrary<bool>();
      running.push_back(
        { base::AttemptId(i), now - milliseconds(age), cancellable });
      fixed += age > 80 && !cancellable ? 1 : 0;
    }
    const StragglerDecision it =
      StragglerBound::Decide(now, milliseconds(10), share, running);
    const std::uint32_t bound = std::max(share.Count() / 2, 1U);
    RC_ASSERT(it.mRemaining.Count() <= std::max(bound, fixed));
    RC_ASSERT(it.mExceeded == (fixed > bound));
    for (const base::AttemptId id : it.mCancel) {
      RC_ASSERT(running[id.Count()].mCancellable);
      RC_ASSERT(now - running[id.Count()].mStart > milliseconds(80));
    }
  });
}
