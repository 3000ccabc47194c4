#include "placing/Placing.h"

#include "base/test/support/Property.h"

#include <cmath>

using namespace auburnmux;
using namespace auburnmux::placing;
using std::chrono::milliseconds;

namespace {

base::TimePoint At(int aMilliseconds)
{
  return base::TimePoint(milliseconds(100000 + aMilliseconds));
}

/** Asks for \a aSlots slots from \a aFrom to \a aTo, in pieces of 100 ms. */
void Ask(HomeShare& aShare, const Supply& aSupply, double aSlots, int aFrom,
         int aTo)
{
  for (int now = aFrom; now < aTo; now += 250) {
    for (int i = 0; i < aSlots * 2.5; ++i) {
      aShare.OnRequest(At(now), milliseconds(100));
    }
    aShare.Update(At(now), aSupply, false);
  }
}

Supply MakeSupply(double aRegionSlots, double aAllSlots)
{
  Supply supply;
  supply.mRegionSlots = aRegionSlots;
  supply.mAllSlots = aAllSlots;
  supply.mRegions = 3;
  return supply;
}

} // namespace

TEST_GROUP(HomeShare){};

TEST(HomeShare, RegionWithEnoughSlotsKeepsAllObjects)
{
  HomeShare share;
  Ask(share, MakeSupply(100, 300), 50, 0, 20000);
  CHECK_TRUE(share.Share() > 0.99);
}

TEST(HomeShare, SmallRegionKeepsWhatItsSlotsHold)
{
  HomeShare share;
  Ask(share, MakeSupply(30, 300), 60, 0, 40000);
  DOUBLES_EQUAL(30 * 0.7 / 60, share.Share(), 0.06);
}

// Three regions that are all short have nothing to offer each other.
TEST(HomeShare, OverloadOfAllIsSharedByCapacity)
{
  HomeShare share;
  Ask(share, MakeSupply(100, 300), 200, 0, 60000);
  CHECK_TRUE(share.Share() > 0.95);
}

// Guards against a share that moves more of the region's requests than the cap
// on shifts allows when demand jumps.
TEST(HomeShare, FollowsAJumpOfDemandSlowly)
{
  HomeShare share;
  const Supply supply = MakeSupply(60, 300);
  Ask(share, supply, 30, 0, 20000);
  double before = share.Share();
  for (int now = 20000; now < 40000; now += 2000) {
    Ask(share, supply, 120, now, now + 2000);
    CHECK_TRUE(std::abs(share.Share() - before) <= 0.075);
    before = share.Share();
  }
  DOUBLES_EQUAL(0.6, before, 0.05); // three such regions ask for 1.2 of all
}

TEST(HomeShare, AssumesALoadUntilItIsMeasured)
{
  HomeShare share;
  share.Update(At(0), MakeSupply(30, 300), false);
  DOUBLES_EQUAL(30 * 0.7 / 60, share.Share(), 0.01); // 0.6 of 300 by three
}
