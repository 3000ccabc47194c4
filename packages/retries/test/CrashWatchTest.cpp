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

/** An upstream process under a load in which one request crashes it. */
struct CrashingUpstreams
{
  std::vector<CrashGuard> mHosts =
    std::vector<CrashGuard>(4, CrashGuard(QuarantineSettings{ 3 }));
  int mCrashes = 0;

  /** A host sends the request to an upstream, unless it refuses it. */
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

TEST_GROUP(CrashWatch){};

// The load that it answers: one request, sent again and again to any host, that
// ends each upstream that begins to run it.
TEST(CrashWatch, RepeatedPoisonCrashesAtMostThreeUpstreams)
{
  CrashingUpstreams upstreams;
  for (int i = 0; i < 40; ++i) {
    upstreams.Send(500 * i, i % 4, i % 10, kPoison);
  }
  CHECK_EQUAL(3, upstreams.mCrashes);
}

// Upstreams that run requests and lose the response reset the connection too,
// but go on to accept others.
TEST(CrashWatch, LostResponsesAreNoCrashes)
{
  CrashWatch watch;
  const UpstreamId upstream("u1");
  for (int i = 0; i < 50; ++i) {
    watch.OnBroken(At(100 * i), upstream, kPoison);
  }
  CHECK_TRUE(watch.OnRefusedConnection(At(5000 + 1500), upstream).empty());
}

TEST(CrashWatch, NamesEachRequestOnceAndOnlyOfThatUpstream)
{
  CrashWatch watch;
  watch.OnBroken(At(0), UpstreamId("u1"), kPoison);
  watch.OnBroken(At(1), UpstreamId("u1"), kPoison);
  watch.OnBroken(At(2), UpstreamId("u1"), kOther);
  watch.OnBroken(At(3), UpstreamId("u2"), Fingerprint(9));
  const auto found = watch.OnRefusedConnection(At(50), UpstreamId("u1"));
  CHECK_EQUAL(2U, found.size());
  CHECK_TRUE(watch.OnRefusedConnection(At(60), UpstreamId("u1")).empty());
  watch.Forget(At(5000));
  CHECK_EQUAL(0U, watch.Size());
}
