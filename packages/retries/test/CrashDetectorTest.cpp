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

/** Hosts that send requests to upstreams; each request crashes its upstream. */
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
    host.OnBroken(At(aNow), upstream, aFingerprint);
    for (const CrashRecord& it :
         host.OnRefusedConnection(At(aNow + 20), upstream)) {
      for (CrashGuard& peer : mHosts) {
        peer.Merge(At(aNow + 25), it);
      }
    }
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
    detector.OnBroken(At(100 * i), upstream, kPoison);
  }
  CHECK_TRUE(detector.OnRefusedConnection(At(5000 + 1500), upstream).empty());
}

TEST(CrashDetector, ReportsEachRequestOnceAndOnlyForItsUpstream)
{
  CrashDetector detector;
  detector.OnBroken(At(0), UpstreamId("u1"), kPoison);
  detector.OnBroken(At(1), UpstreamId("u1"), kPoison);
  detector.OnBroken(At(2), UpstreamId("u1"), kOther);
  detector.OnBroken(At(3), UpstreamId("u2"), Fingerprint(9));
  const auto fingerprints =
    detector.OnRefusedConnection(At(50), UpstreamId("u1"));
  CHECK_EQUAL(2U, fingerprints.size());
  CHECK_TRUE(detector.OnRefusedConnection(At(60), UpstreamId("u1")).empty());
  detector.RemoveExpired(At(5000));
  CHECK_EQUAL(0U, detector.Size());
}
