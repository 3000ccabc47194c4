#include "retries/Retries.h"

#include "base/test/support/Property.h"

#include <vector>

using namespace auburnmux;
using namespace auburnmux::retries;
using base::TimePoint;
using base::UpstreamId;
using std::chrono::milliseconds;

namespace {

const Fingerprint kPoison(7);
const Fingerprint kOther(8);

TimePoint At(int aMilliseconds)
{
  return TimePoint(std::chrono::hours(1) + milliseconds(aMilliseconds));
}

/** The attempt that was sent at one time and broke at another. */
CrashedAttempt Attempt(const UpstreamId& aUpstream, int aSent, int aBroken)
{
  return { aUpstream, At(aSent), At(aBroken) };
}

/** Hosts that send requests to upstreams; each request crashes its upstream,
 * and nothing connects to it afterwards but a probe. */
struct CrashingUpstreams
{
  std::vector<CrashGuard> mHosts =
    std::vector<CrashGuard>(4, CrashGuard(QuarantineSettings{ 3 }));
  int mCrashes = 0;

  /** Sends the request from a host to an upstream, unless the host refuses it.
   */
  void Send(int aNow, int aHost, int aUpstream, Fingerprint aFingerprint)
  {
    CrashGuard& host = mHosts[static_cast<std::size_t>(aHost)];
    if (host.IsRefused(At(aNow), aFingerprint)) {
      return;
    }
    const UpstreamId upstream("u" + std::to_string(aUpstream));
    ++mCrashes;
    if (!host.OnBroken(At(aNow), aFingerprint,
                       Attempt(upstream, aNow - 50, aNow))) {
      return;
    }
    for (const CrashRecord& it :
         host.OnRefusedConnection(At(aNow + 20), upstream)) {
      for (CrashGuard& peer : mHosts) {
        peer.Merge(At(aNow + 25), it);
      }
    }
    CHECK_FALSE(host.OnProbeEnded(At(aNow + 20), upstream));
  }
};

} // namespace

TEST_GROUP(CrashDetector){};

// Guards against one request, sent repeatedly through any host, that crashes
// every upstream that starts to run it.
TEST(CrashDetector, RepeatedPoisonCrashesAtMostThreeUpstreams)
{
  CrashingUpstreams upstreams;
  for (int i = 0; i < 40; ++i) {
    upstreams.Send(500 * i, i % 4, i % 10, kPoison);
  }
  CHECK_EQUAL(3, upstreams.mCrashes);
}

// Guards against counting a lost response as a crash: the upstream resets the
// connection but keeps accepting new ones.
TEST(CrashDetector, LostResponsesAreNotCrashes)
{
  CrashDetector detector;
  const UpstreamId upstream("u1");
  for (int i = 0; i < 50; ++i) {
    detector.OnBroken(At(100 * i), kPoison,
                      Attempt(upstream, 100 * i - 50, 100 * i));
  }
  CHECK_TRUE(detector.OnRefusedConnection(At(5000 + 1500), upstream).empty());
}

TEST(CrashDetector, ReportsEachRequestOnceAndOnlyForItsUpstream)
{
  CrashDetector detector;
  const UpstreamId first("u1");
  detector.OnBroken(At(0), kPoison, Attempt(first, -50, 0));
  detector.OnBroken(At(1), kPoison, Attempt(first, -50, 1));
  detector.OnBroken(At(2), kOther, Attempt(first, -50, 2));
  detector.OnBroken(At(3), Fingerprint(9), Attempt(UpstreamId("u2"), -50, 3));
  const auto suspects = detector.OnRefusedConnection(At(50), first);
  CHECK_EQUAL(2U, suspects.size());
  CHECK_TRUE(detector.OnRefusedConnection(At(60), UpstreamId("u1")).empty());
  detector.OnProbeEnded(At(60), first);
  detector.OnProbeEnded(At(60), UpstreamId("u2"));
  detector.RemoveExpired(At(5000));
  CHECK_EQUAL(0U, detector.Size());
}

// Guards against a connection for each of the requests that a crash resets, and
// against missing a crash that happens while an earlier probe is under way.
TEST(CrashDetector, ProbesOneAtATimeAndAgainAfterALaterBreak)
{
  CrashDetector detector;
  const UpstreamId upstream("u1");
  CHECK_TRUE(detector.OnBroken(At(0), kPoison, Attempt(upstream, -50, 0)));
  CHECK_FALSE(detector.OnBroken(At(1), kOther, Attempt(upstream, -50, 1)));
  CHECK_TRUE(detector.OnProbeEnded(At(20), upstream));
  CHECK_FALSE(detector.OnProbeEnded(At(40), upstream));
  CHECK_TRUE(detector.OnBroken(At(50), kPoison, Attempt(upstream, 45, 50)));
}

// Guards against one more crash by the retry that follows the third one before
// its probe has ended.
TEST(CrashDetector, RequestIsNotRetriedWhenItsNextCrashWouldBeTheLast)
{
  CrashGuard guard(QuarantineSettings{ 3 });
  for (int i = 0; i < 2; ++i) {
    CHECK_TRUE(guard.MayRetryAfterBreak(At(1000 * i), kPoison));
    const UpstreamId upstream("u" + std::to_string(i));
    guard.OnBroken(At(1000 * i), kPoison,
                   Attempt(upstream, 1000 * i - 50, 1000 * i));
    guard.OnRefusedConnection(At(1000 * i + 1), upstream);
  }
  CHECK_FALSE(guard.MayRetryAfterBreak(At(2000), kPoison));
  CHECK_FALSE(guard.IsRefused(At(2000), kPoison));
}
