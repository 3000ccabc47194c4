#include "retries/Retries.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::retries;
using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kTrip(40);

TimePoint At(int aMilliseconds)
{
  return TimePoint(std::chrono::hours(1) + milliseconds(aMilliseconds));
}

} // namespace

TEST_GROUP(IdleTrust){};

// The load that it answers: an upstream, or something on the way to it, that
// forgets connections which rested for 300 ms. Requests that may not run twice
// are lost on them.
TEST(IdleTrust, FewRequestsAreLostOnForgottenConnections)
{
  CHECK_PROPERTY("losses stay few", [](std::uint64_t aSeed) {
    base::Random random(aSeed);
    IdleTrust trust;
    int lost = 0;
    int sent = 0;
    for (int now = 0; now < 10000; now += 20) {
      const auto idle = milliseconds(random.Below(1000));
      if (idle >= trust.MaxIdle(At(now))) {
        continue; // a new connection
      }
      ++sent;
      if (idle > milliseconds(300)) {
        ++lost;
        trust.OnReset(At(now), idle, kTrip, kTrip);
      }
    }
    RC_ASSERT(sent > 50);
    RC_ASSERT(lost <= 6);
  });
}

TEST(IdleTrust, ResetDuringWorkSaysNothingOfTheRestBefore)
{
  IdleTrust trust;
  trust.OnReset(At(0), seconds(1), milliseconds(300), kTrip);
  CHECK_TRUE(trust.MaxIdle(At(1)) == IdleTrustSettings().mMost);
  trust.OnReset(At(0), milliseconds(10), kTrip, kTrip);
  CHECK_TRUE(trust.MaxIdle(At(1)) == IdleTrustSettings().mMost);
}

TEST(IdleTrust, TrustReturnsWithTime)
{
  IdleTrust trust;
  trust.OnReset(At(0), milliseconds(400), kTrip, kTrip);
  CHECK_TRUE(trust.MaxIdle(At(100)) == milliseconds(200));
  CHECK_TRUE(trust.MaxIdle(At(6000)) == milliseconds(400));
  CHECK_TRUE(trust.MaxIdle(At(60000)) == IdleTrustSettings().mMost);
}
