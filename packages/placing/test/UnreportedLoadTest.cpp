#include "placing/Placing.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::placing;

TEST_GROUP(UnreportedLoad)
{
  UnreportedLoad mLoad;

  /** Ends requests, of which one in \a aPeriod is rejected. */
  void End(int aCount, int aPeriod)
  {
    for (int i = 1; i <= aCount; ++i) {
      if (i % aPeriod == 0) {
        mLoad.OnFull();
      } else {
        mLoad.OnAnswered();
      }
    }
  }
};

TEST(UnreportedLoad, IsTheMeanOfTheReportsAtFirst)
{
  DOUBLES_EQUAL(1, mLoad.Ratio(), 0);
}

TEST(UnreportedLoad, FallsWhileUpstreamsRejectNothing)
{
  End(1000, 2000);
  DOUBLES_EQUAL(0, mLoad.Ratio(), 1e-9);
}

TEST(UnreportedLoad, RejectionsRaiseItUpToTheMean)
{
  End(1000, 2000);
  End(200, 10);
  DOUBLES_EQUAL(1, mLoad.Ratio(), 0.05);
}

// Guards against rejections that keep a host from using idle slots for long.
TEST(UnreportedLoad, RecoversWithinHundredsOfResponses)
{
  End(200, 4);
  End(500, 1000);
  CHECK_TRUE(mLoad.Ratio() < 0.1);
}
