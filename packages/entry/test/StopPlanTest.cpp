#include "entry/src/StopPlan.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(StopPlan){};

// Found on easpa-grants-grown scale-1: a request that came 3.5 s after the
// signal, on a kept connection, was cut at the end of the grace of 6 s.
TEST(StopPlan, RequestsAreTakenOnlyWhileHalfOfTheGraceIsLeftForThem)
{
  const StopPlan plan(seconds(6));
  CHECK_FALSE(plan.IsQuiet(milliseconds(2000))); // lifetime of look-ups
  CHECK_TRUE(plan.IsQuiet(milliseconds(3000)));
  for (int sent = 0; sent < 6000; sent += 10) {
    const bool isTaken = !plan.IsQuiet(milliseconds(sent));
    CHECK_TRUE(!isTaken || !plan.IsOver(milliseconds(sent + 2500), true));
  }
}

TEST(StopPlan, EndsOnceQuietAndWithoutWorkOrJustBeforeTheGrace)
{
  const StopPlan plan(seconds(6));
  CHECK_FALSE(plan.IsOver(milliseconds(100), false));
  CHECK_TRUE(plan.IsOver(milliseconds(3000), false));
  CHECK_FALSE(plan.IsOver(milliseconds(3000), true));
  CHECK_TRUE(plan.IsOver(milliseconds(5900), true));
}
