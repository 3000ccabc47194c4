#include "retries/Retries.h"

#include "base/test/support/Property.h"

#include <functional>
#include <map>
#include <vector>

using namespace auburnmux;
using namespace auburnmux::retries;
using base::TimePoint;
using base::UpstreamId;
using std::chrono::milliseconds;

namespace {

constexpr int kMinute = 60'000;

TimePoint At(int aMilliseconds)
{
  return TimePoint(std::chrono::hours(1) + milliseconds(aMilliseconds));
}

/** A request that is sent repeatedly, and whose attempts this side ends. */
struct Load
{
  Fingerprint mFingerprint;
  /** From the sending of an attempt until this side ends it, until its
   * deadline, and until the crash that it causes; 0 for none. */
  int mCancelAfter = 800;
  int mDeadline = 800;
  int mCrashAfter = 0;
};

/** Hosts and upstreams in virtual time. A crashed upstream is down for 3 s. */
class Fleet
{
public:
  /** \param aPersistent percentage of the upstreams that run a request on after
   * its attempt was ended */
  Fleet(std::uint64_t aSeed, int aUpstreams, int aPersistent)
    : mRandom(aSeed)
    , mUpstreams(static_cast<std::size_t>(aUpstreams))
  {
    for (std::size_t i = 0; i < mUpstreams.size(); ++i) {
      mUpstreams[i].mIsPersistent =
        static_cast<int>(i) * 100 < aPersistent * aUpstreams;
    }
    for (int i = 0; i < kHosts; ++i) {
      Tick(i);
    }
  }

  void RunUntil(int aTime)
  {
    while (!mEvents.empty() && mEvents.begin()->first <= aTime) {
      mNow = mEvents.begin()->first;
      const auto event = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      event();
    }
    mNow = aTime;
  }
  /** Sends the request once from a host chosen at random, unless it refuses it.
   * \returns whether it was sent */
  bool Send(const Load& aLoad)
  {
    const std::size_t host = mRandom.Below(kHosts);
    if (mHosts[host].IsRefused(At(mNow), aLoad.mFingerprint)) {
      return false;
    }
    const std::size_t upstream = mRandom.Below(mUpstreams.size());
    if (mUpstreams[upstream].mIsDown) {
      return true;
    }
    const int lifetime = mUpstreams[upstream].mLifetime;
    const int sent = mNow;
    mEvents.emplace(sent + aLoad.mCancelAfter, [=] {
      if (mUpstreams[upstream].mLifetime == lifetime) {
        mHosts[host].OnCancelled(
          At(mNow), aLoad.mFingerprint,
          { Id(upstream), At(sent), At(sent + aLoad.mCancelAfter) },
          At(sent + aLoad.mDeadline));
      }
    });
    if (aLoad.mCrashAfter > 0 && mUpstreams[upstream].mIsPersistent) {
      mEvents.emplace(sent + aLoad.mCrashAfter, [=] {
        if (mUpstreams[upstream].mLifetime == lifetime) {
          mCrashes.push_back(mNow);
          Crash(upstream);
        }
      });
    }
    return true;
  }
  void Crash(std::size_t aUpstream)
  {
    if (std::exchange(mUpstreams[aUpstream].mIsDown, true)) {
      return;
    }
    ++mUpstreams[aUpstream].mLifetime;
    mEvents.emplace(mNow + 3000,
                    [=] { mUpstreams[aUpstream].mIsDown = false; });
    for (std::size_t host = 0; host < mHosts.size(); ++host) {
      if (mHosts[host].StartProbe(At(mNow),
                                  Id(aUpstream))) { // its connections ended
        EndProbe(host, aUpstream);
      }
    }
  }
  void CrashAtRandom(int aMeanInterval)
  {
    const auto interval = static_cast<int>(
      1 + mRandom.Below(2 * static_cast<std::uint64_t>(aMeanInterval)));
    mEvents.emplace(mNow + interval, [=] {
      Crash(mRandom.Below(mUpstreams.size()));
      CrashAtRandom(aMeanInterval);
    });
  }
  int Now() const { return mNow; }
  bool IsRefused(Fingerprint aFingerprint) const
  {
    return mHosts.front().IsRefused(At(mNow), aFingerprint);
  }
  /** \returns the times of the crashes that requests caused. */
  const std::vector<int>& Crashes() const { return mCrashes; }

private:
  static constexpr int kHosts = 4;

  struct Upstream
  {
    bool mIsPersistent = false;
    bool mIsDown = false;
    int mLifetime = 0;
  };

  static UpstreamId Id(std::size_t aUpstream)
  {
    return UpstreamId("u" + std::to_string(aUpstream));
  }
  void EndProbe(std::size_t aHost, std::size_t aUpstream)
  {
    mEvents.emplace(mNow + 5, [=] {
      CrashGuard& host = mHosts[aHost];
      if (mUpstreams[aUpstream].mIsDown) {
        Report(aHost, host.OnRefusedConnection(At(mNow), Id(aUpstream)));
      } else {
        host.OnRunning(At(mNow), Id(aUpstream));
      }
      host.OnProbeEnded(At(mNow), Id(aUpstream));
    });
  }
  void Report(std::size_t aHost, const std::vector<CrashRecord>& aRecords)
  {
    for (std::size_t peer = 0; peer < mHosts.size(); ++peer) {
      for (const CrashRecord& it : aRecords) {
        if (peer != aHost) {
          mHosts[peer].Merge(At(mNow), it, base::HostId(std::to_string(aHost)));
        }
      }
    }
  }
  void Tick(int aHost)
  {
    const auto host = static_cast<std::size_t>(aHost);
    const GuardTick tick = mHosts[host].OnTick(At(mNow));
    Report(host, tick.mRecords);
    for (const UpstreamId& it : tick.mUnknown) {
      if (mHosts[host].StartProbe(At(mNow), it)) {
        EndProbe(host, std::stoul(it.Text().substr(1)));
      }
    }
    mEvents.emplace(mNow + 250, [=] { Tick(aHost); });
  }

  base::Random mRandom;
  std::vector<CrashGuard> mHosts =
    std::vector<CrashGuard>(kHosts, CrashGuard(QuarantineSettings{ 3 }));
  std::vector<Upstream> mUpstreams;
  std::multimap<int, std::function<void()>> mEvents;
  std::vector<int> mCrashes;
  int mNow = 0;
};

/** What a crashing request did to the upstreams. */
struct PoisonResult
{
  int mCrashes = 0;
  /** Attempts that were sent later than 3 s after the third crash. */
  int mLateAttempts = 0;
};

/** Plays a caller that sends a crashing request every 5 s, and once more when
 * its attempt was ended. */
PoisonResult PlayPoison(std::uint64_t aSeed, int aPersistent,
                        const Load& aPoison)
{
  Fleet fleet(aSeed, 10, aPersistent);
  PoisonResult result;
  for (int visit = 0; visit < 120; ++visit) {
    for (int attempt = 0; attempt < 2; ++attempt) {
      fleet.RunUntil(visit * 5000 + attempt * (aPoison.mCancelAfter + 5));
      const bool isLate =
        fleet.Crashes().size() >= 3 && fleet.Now() > fleet.Crashes()[2] + 3000;
      result.mLateAttempts += fleet.Send(aPoison) && isLate ? 1 : 0;
    }
  }
  result.mCrashes = static_cast<int>(fleet.Crashes().size());
  return result;
}

/** \returns how many of 200 requests, which are sent every second for 10
 * minutes and never answered in time, are refused at the end, if each of 40
 * upstreams crashes once in \a aInterval seconds for other reasons. */
int InnocentsRefused(int aInterval)
{
  constexpr std::uint64_t kRequests = 200;
  constexpr int kUpstreams = 40;
  Fleet fleet(1, kUpstreams, 100);
  fleet.CrashAtRandom(aInterval * 1000 / kUpstreams);
  for (int now = 0; now < 10 * kMinute; now += 1000) {
    fleet.RunUntil(now);
    for (std::uint64_t i = 0; i < kRequests; ++i) {
      fleet.Send({ Fingerprint(i) });
    }
  }
  int refused = 0;
  for (std::uint64_t i = 0; i < kRequests; ++i) {
    refused += fleet.IsRefused(Fingerprint(i)) ? 1 : 0;
  }
  return refused;
}

} // namespace

TEST_GROUP(CancelledAttempt){};

// Guards against a request that crashes upstreams after its attempt was ended,
// and is never refused (third review, case 14).
TEST(CancelledAttempt, PoisonIsRefusedAfterThreeCrashes)
{
  const Load atDeadline{ Fingerprint(7), 800, 800, 1000 };
  const Load whenClientLeaves{ Fingerprint(7), 300, 2000, 1500 };
  for (const Load& it : { atDeadline, whenClientLeaves }) {
    for (const int persistent : { 100, 40, 20 }) {
      for (std::uint64_t seed = 0; seed < 50; ++seed) {
        const PoisonResult result = PlayPoison(seed, persistent, it);
        CHECK_TRUE(result.mLateAttempts <= 3);
        // An attempt that began before the third crash may cause a fourth one.
        CHECK_TRUE(result.mCrashes <= 4);
      }
    }
  }
}

// Guards against refusing requests that are merely slow, where upstreams crash
// for other reasons. They never succeed; a success would clear them.
TEST(CancelledAttempt, SlowRequestsAreNotRefusedForOtherCrashes)
{
  CHECK_TRUE(InnocentsRefused(600) <= 2); // one in a hundred
}

// Guards against refusing a request whose ended attempts stood at upstreams
// that crashed together.
TEST(CancelledAttempt, CrashesAtTheSameTimeCountOnce)
{
  CrashGuard guard(QuarantineSettings{ 3 });
  for (int i = 0; i < 3; ++i) {
    const UpstreamId upstream("u" + std::to_string(i));
    guard.OnCancelled(At(900 * i + 800), Fingerprint(7),
                      { upstream, At(900 * i), At(900 * i + 800) },
                      At(900 * i + 800));
  }
  for (int i = 0; i < 3; ++i) {
    guard.OnRefusedConnection(At(2700 + 10 * i),
                              UpstreamId("u" + std::to_string(i)));
  }
  CHECK_FALSE(guard.IsRefused(At(3000), Fingerprint(7)));
  CHECK_TRUE(guard.MayRetryAfterBreak(At(3000), Fingerprint(7)));
}

// Guards against counting only one of two crashes because the client sent the
// request again as its first attempt ended, which two hosts see in either
// order.
TEST(CancelledAttempt, RepeatAtTheEndOfAnAttemptCountsAsWell)
{
  CrashGuard guard(QuarantineSettings{ 2 });
  for (int i = 0; i < 2; ++i) {
    const UpstreamId upstream("u" + std::to_string(i));
    guard.OnCancelled(At(299 * i + 300), Fingerprint(7),
                      { upstream, At(299 * i), At(299 * i + 300) }, At(800));
  }
  guard.OnRefusedConnection(At(1000), UpstreamId("u0"));
  guard.OnRefusedConnection(At(1299), UpstreamId("u1"));
  CHECK_TRUE(guard.IsRefused(At(1300), Fingerprint(7)));
}

// Guards against evidence that outlives the time in which the upstream can have
// been running the request.
TEST(CancelledAttempt, LaterCrashesAreNoEvidence)
{
  CrashDetector detector;
  const UpstreamId upstream("u1");
  detector.OnCancelled(At(800), Fingerprint(7), { upstream, At(0), At(800) },
                       At(800));
  detector.OnRunning(At(3000), upstream);
  CHECK_TRUE(detector.OnRefusedConnection(At(3100), upstream).empty());
  CHECK_EQUAL(1U, detector.CheckCancelled(At(3100)).mOutlived.size());
  detector.RemoveExpired(At(3100));
  CHECK_EQUAL(0U, detector.Size());
}

// Guards against refusing a request that succeeds elsewhere, such as one whose
// slow attempt was replaced.
TEST(CancelledAttempt, SuccessEndsTheSuspicion)
{
  CrashGuard guard(QuarantineSettings{ 1 });
  const UpstreamId upstream("u1");
  guard.OnCancelled(At(300), Fingerprint(7), { upstream, At(0), At(300) },
                    At(2000));
  guard.OnSuccess(At(500), Fingerprint(7));
  CHECK_TRUE(guard.OnRefusedConnection(At(600), upstream).empty());
}

// Guards against suspecting requests for the planned end of an upstream.
TEST(CancelledAttempt, PlannedEndIsNoEvidence)
{
  CrashGuard guard(QuarantineSettings{ 1 });
  const UpstreamId upstream("u1");
  guard.OnCancelled(At(300), Fingerprint(7), { upstream, At(0), At(300) },
                    At(2000));
  guard.OnGone(upstream);
  CHECK_TRUE(guard.OnRefusedConnection(At(600), upstream).empty());
}

// Guards against an upstream that is asked forever whether it runs.
TEST(CancelledAttempt, ProbeWithoutAnAnswerEndsTheSuspicion)
{
  CrashGuard guard(QuarantineSettings{ 1 });
  const UpstreamId upstream("u1");
  guard.OnCancelled(At(800), Fingerprint(7), { upstream, At(0), At(800) },
                    At(800));
  CHECK_EQUAL(1U, guard.OnTick(At(2800)).mUnknown.size());
  CHECK_TRUE(guard.StartProbe(At(2800), upstream));
  CHECK_FALSE(guard.OnProbeEnded(At(3300), upstream));
  CHECK_TRUE(guard.OnTick(At(3400)).mUnknown.empty());
  CHECK_TRUE(guard.OnRefusedConnection(At(3500), upstream).empty());
}

// Guards against probes without a pause at an upstream that accepts and closes
// each connection.
TEST(CancelledAttempt, ProbesKeepTheirInterval)
{
  CrashGuard guard(QuarantineSettings{ 1 });
  const UpstreamId upstream("u1");
  guard.OnCancelled(At(0), Fingerprint(7), { upstream, At(-500), At(0) },
                    At(1000));
  int probes = 0;
  for (int now = 0; now < 1000; now += 10) {
    if (guard.StartProbe(At(now), upstream)) {
      ++probes;
      guard.OnRunning(At(now + 5), upstream);
      guard.OnProbeEnded(At(now + 5), upstream);
    }
  }
  CHECK_EQUAL(5, probes);
}
