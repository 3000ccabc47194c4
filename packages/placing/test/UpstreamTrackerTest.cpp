#include "placing/Placing.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::placing;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(UpstreamTracker)
{
  PlacingSettings mSettings;
  UpstreamTracker mTracker{ mSettings, base::SlotCount(9) };
  base::TimePoint mStart{ seconds(100) };
};

// Guards against estimates from the default of 200 ms where work takes seconds
// (easpa-grants-large). Most pairs of host and upstream have no response yet:
// an open request counted as unexplained silence after 0.6 s, and a full
// upstream seemed to be free within milliseconds.
TEST(UpstreamTracker, UpstreamWithoutResponsesIsJudgedByTheServicesWorkTime)
{
  LoadFallback fallback;
  fallback.mMeanWork = seconds(3);
  mTracker.OnSent(mStart);
  CHECK_TRUE(mTracker.UnexplainedSilence(mStart + seconds(8), fallback) ==
             base::Duration::zero());
  CHECK_TRUE(mTracker.UnexplainedSilence(mStart + seconds(12), fallback) >
             seconds(2));
  mTracker.OnReport(mStart, { 9, 3, base::SlotCount(9), 1 });
  CHECK_TRUE(mTracker.ExpectedWait(mStart, fallback, 0) > seconds(1));
}

// Guards against a report of a full upstream that outlives the work behind it.
TEST(UpstreamTracker, ReportedLoadLastsForTheWorkTime)
{
  LoadFallback fallback;
  fallback.mRequestsPerSlot = 0.5;
  fallback.mMeanWork = milliseconds(100);
  mTracker.OnReport(mStart, { 9, 6, base::SlotCount(9), 1 });
  CHECK_FALSE(mTracker.HasCapacity(mStart, fallback));
  CHECK_TRUE(mTracker.HasCapacity(mStart + milliseconds(400), fallback));
  fallback.mMeanWork = seconds(3);
  CHECK_FALSE(mTracker.HasCapacity(mStart + milliseconds(400), fallback));
}
