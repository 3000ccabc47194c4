#include "retries/Retries.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::retries;
using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kRoundTrip(40);

TimePoint At(int aMilliseconds)
{
  return TimePoint(std::chrono::hours(1) + milliseconds(aMilliseconds));
}

} // namespace

TEST_GROUP(IdleReuseLimit){};

// Guards against losing non-idempotent requests on connections that the
// upstream, or a device on the path, dropped after 300 ms without traffic.
TEST(IdleReuseLimit, FewRequestsAreLostOnDroppedConnections)
{
  CHECK_PROPERTY("losses stay few", [](std::uint64_t aSeed) {
    base::Random random(aSeed);
    IdleReuseLimit limit;
    int lost = 0;
    int sent = 0;
    for (int now = 0; now < 10000; now += 20) {
      const auto idle = milliseconds(random.Below(1000));
      if (idle >= limit.MaxIdle(At(now))) {
        continue; // a new connection
      }
      ++sent;
      if (idle > milliseconds(300)) {
        ++lost;
        limit.OnReset(At(now), idle, kRoundTrip, kRoundTrip);
      }
    }
    RC_ASSERT(sent > 50);
    RC_ASSERT(lost <= 6);
  });
}

TEST(IdleReuseLimit, IgnoresResetsNotCausedByIdleness)
{
  IdleReuseLimit limit;
  limit.OnReset(At(0), seconds(1), milliseconds(300), kRoundTrip);
  CHECK_TRUE(limit.MaxIdle(At(1)) == IdleReuseLimitSettings().mMaxLimit);
  limit.OnReset(At(0), milliseconds(10), kRoundTrip, kRoundTrip);
  CHECK_TRUE(limit.MaxIdle(At(1)) == IdleReuseLimitSettings().mMaxLimit);
}

TEST(IdleReuseLimit, LimitRecoversOverTime)
{
  IdleReuseLimit limit;
  limit.OnReset(At(0), milliseconds(400), kRoundTrip, kRoundTrip);
  CHECK_TRUE(limit.MaxIdle(At(100)) == milliseconds(200));
  CHECK_TRUE(limit.MaxIdle(At(6000)) == milliseconds(400));
  CHECK_TRUE(limit.MaxIdle(At(60000)) == IdleReuseLimitSettings().mMaxLimit);
}
