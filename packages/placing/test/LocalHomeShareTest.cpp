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

/** Adds requests of 100 ms that occupy \a aSlots slots, from \a aFrom to
 * \a aTo in milliseconds. */
void AddDemand(LocalHomeShare& aShare, const ServiceCapacity& aCapacity,
               double aSlots, int aFrom, int aTo)
{
  for (int now = aFrom; now < aTo; now += 250) {
    for (int i = 0; i < aSlots * 2.5; ++i) {
      aShare.OnRequest(At(now), milliseconds(100));
    }
    aShare.Update(At(now), aCapacity, false);
  }
}

ServiceCapacity MakeCapacity(double aRegionSlots, double aAllSlots)
{
  ServiceCapacity capacity;
  capacity.mRegionSlots = aRegionSlots;
  capacity.mAllSlots = aAllSlots;
  capacity.mRegions = 3;
  return capacity;
}

} // namespace

TEST_GROUP(LocalHomeShare){};

TEST(LocalHomeShare, RegionWithEnoughSlotsKeepsAllObjects)
{
  LocalHomeShare share;
  AddDemand(share, MakeCapacity(100, 300), 50, 0, 20000);
  CHECK_TRUE(share.Share() > 0.99);
}

TEST(LocalHomeShare, SmallRegionKeepsWhatItsSlotsHold)
{
  LocalHomeShare share;
  AddDemand(share, MakeCapacity(30, 300), 60, 0, 40000);
  DOUBLES_EQUAL(30 * 0.7 / 60, share.Share(), 0.06);
}

// If all regions are overloaded, moving objects between them doesn't help.
TEST(LocalHomeShare, OverloadOfAllIsSharedByCapacity)
{
  LocalHomeShare share;
  AddDemand(share, MakeCapacity(100, 300), 200, 0, 60000);
  CHECK_TRUE(share.Share() > 0.95);
}

// Guards against a jump of demand that moves more of the region's requests to
// other regions than the shift cap allows.
TEST(LocalHomeShare, FollowsAJumpOfDemandSlowly)
{
  LocalHomeShare share;
  const ServiceCapacity capacity = MakeCapacity(60, 300);
  AddDemand(share, capacity, 30, 0, 20000);
  double before = share.Share();
  for (int now = 20000; now < 40000; now += 2000) {
    AddDemand(share, capacity, 120, now, now + 2000);
    CHECK_TRUE(std::abs(share.Share() - before) <= 0.075);
    before = share.Share();
  }
  DOUBLES_EQUAL(0.6, before,
                0.05); // three such regions need 1.2 times all slots
}

TEST(LocalHomeShare, AssumesALoadUntilItIsMeasured)
{
  LocalHomeShare share;
  share.Update(At(0), MakeCapacity(30, 300), false);
  DOUBLES_EQUAL(30 * 0.7 / 60, share.Share(),
                0.01); // 0.6 of 300 slots, divided by three regions
}
