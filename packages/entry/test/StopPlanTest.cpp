#include "entry/src/StopPlan.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(StopPlan){};

// Guards against accepting requests too late in a shutdown (found on
// easpa-grants-grown scale-1): a request that arrived 3.5 s after the signal,
// on a keep-alive connection, was aborted at the end of the grace period of 6
// s.
TEST(StopPlan, RequestsAreAcceptedOnlyWhileHalfOfTheGracePeriodRemains)
{
  const StopPlan plan(seconds(6));
  CHECK_FALSE(plan.RefusesRequests(milliseconds(2000))); // lookup lifetime
  CHECK_TRUE(plan.RefusesRequests(milliseconds(3000)));
  for (int sent = 0; sent < 6000; sent += 10) {
    const bool isAccepted = !plan.RefusesRequests(milliseconds(sent));
    CHECK_TRUE(!isAccepted ||
               !plan.ShouldExit(milliseconds(sent + 2500), true));
  }
}

// Guards against breaking off requests at which upstreams may be at work for
// the sake of others, and against leaving no time to deliver those.
TEST(StopPlan, EndsRequestsLateAndLeavesTimeToDeliver)
{
  for (const seconds grace : { seconds(6), seconds(10), seconds(30) }) {
    const StopPlan plan(grace);
    CHECK_TRUE(plan.UnblockAfter() >= grace * 5 / 6);
    CHECK_TRUE(plan.EndRequestsAfter() - plan.UnblockAfter() >=
               milliseconds(500));
    CHECK_TRUE(plan.ExitAfter() - plan.EndRequestsAfter() >= milliseconds(100));
    CHECK_TRUE(plan.ExitAfter() < grace);
  }
}

TEST(StopPlan, ExitsWhenIdleOrJustBeforeTheEndOfTheGracePeriod)
{
  const StopPlan plan(seconds(6));
  CHECK_FALSE(plan.ShouldExit(milliseconds(100), false));
  CHECK_TRUE(plan.ShouldExit(milliseconds(3000), false));
  CHECK_FALSE(plan.ShouldExit(milliseconds(3000), true));
  CHECK_TRUE(plan.ShouldExit(milliseconds(5900), true));
}
