#include "retries/src/CrashDetector.h"

#include <algorithm>
#include <utility>

namespace auburnmux::retries {

namespace {

/** Maximum time between a broken and a refused connection that are attributed
 * to one crash. Processes take about a second to restart. */
constexpr base::Duration kSameCrash = std::chrono::milliseconds(1000);

/** Time past the deadline of a cancelled attempt in which its upstream may
 * still be running it. */
constexpr base::Duration kOverrun = std::chrono::milliseconds(1500);

/** Maximum time after its end for which a cancelled attempt is suspect. */
constexpr base::Duration kMaxSuspicion = std::chrono::seconds(5);

/** Bounds of the time between two probes for cancelled attempts, which doubles
 * with each one. An upstream that closes each new connection would otherwise be
 * probed without a pause. */
constexpr base::Duration kMinProbeInterval = std::chrono::milliseconds(50);
constexpr base::Duration kMaxProbeInterval = std::chrono::seconds(1);

/** Maximum number of failed and of cancelled requests kept for one upstream; it
 * runs no more than this at a time. */
constexpr std::size_t kMaxSuspects = 64;

} // namespace

void CrashDetector::RemoveExpiredFrom(base::TimePoint aNow, Upstream& aUpstream)
{
  std::deque<CrashSuspect>& suspects = aUpstream.mSuspects;
  while (!suspects.empty() &&
         aNow - suspects.front().mAttempt.mBroken > kSameCrash) {
    suspects.pop_front();
  }
}

template<typename Predicate>
void CrashDetector::RemoveCancelledIf(Upstream& aUpstream, Predicate aPredicate)
{
  std::deque<CancelledAttempt>& all = aUpstream.mCancelled;
  for (auto it = all.begin(); it != all.end();) {
    if (aPredicate(*it)) {
      Release(it->mSuspect.mFingerprint);
      it = all.erase(it);
    } else {
      ++it;
    }
  }
}

void CrashDetector::Release(Fingerprint aFingerprint)
{
  const auto count = mCancelledCounts.find(aFingerprint);
  if (--count->second == 0) {
    mCancelledCounts.erase(count);
  }
}

void CrashDetector::TakeOutlived(Upstream& aUpstream)
{
  RemoveCancelledIf(aUpstream, [&](const CancelledAttempt& aIt) {
    const bool isOutlived = aIt.mSuspectUntil <= aUpstream.mLastRunning;
    if (isOutlived) {
      mOutlived.push_back(aIt.mSuspect.mFingerprint);
    }
    return isOutlived;
  });
}

bool CrashDetector::OnBroken(base::TimePoint aNow, Fingerprint aFingerprint,
                             const CrashedAttempt& aAttempt)
{
  Upstream& upstream = mUpstreams[aAttempt.mUpstream];
  RemoveExpiredFrom(aNow, upstream);
  if (upstream.mSuspects.size() >= kMaxSuspects) {
    upstream.mSuspects.pop_front();
  }
  upstream.mSuspects.push_back({ aFingerprint, aAttempt });
  upstream.mHasBrokenSince = upstream.mIsProbed;
  return !std::exchange(upstream.mIsProbed, true);
}

void CrashDetector::OnCancelled(base::TimePoint aNow, Fingerprint aFingerprint,
                                const CrashedAttempt& aAttempt,
                                base::TimePoint aDeadline)
{
  Upstream& upstream = mUpstreams[aAttempt.mUpstream];
  TakeOutlived(upstream);
  if (upstream.mCancelled.size() >= kMaxSuspects) {
    Release(upstream.mCancelled.front().mSuspect.mFingerprint);
    upstream.mCancelled.pop_front();
  }
  const base::TimePoint until =
    std::min(std::max(aNow, aDeadline) + kOverrun, aNow + kMaxSuspicion);
  upstream.mCancelled.push_back({ { aFingerprint, aAttempt }, until });
  ++mCancelledCounts[aFingerprint];
}

void CrashDetector::OnSuccess(Fingerprint aFingerprint)
{
  if (mCancelledCounts.count(aFingerprint) == 0) {
    return;
  }
  for (auto& [id, upstream] : mUpstreams) {
    RemoveCancelledIf(upstream, [&](const CancelledAttempt& aIt) {
      return aIt.mSuspect.mFingerprint == aFingerprint;
    });
  }
}

void CrashDetector::OnRunning(base::TimePoint aNow,
                              const base::UpstreamId& aUpstream)
{
  if (mCancelledCounts.empty()) {
    return;
  }
  const auto it = mUpstreams.find(aUpstream);
  if (it != mUpstreams.end()) {
    it->second.mLastRunning = aNow;
  }
}

void CrashDetector::OnGone(const base::UpstreamId& aUpstream)
{
  const auto it = mUpstreams.find(aUpstream);
  if (it != mUpstreams.end()) {
    it->second.mSuspects.clear();
    RemoveCancelledIf(it->second, [](const CancelledAttempt&) { return true; });
  }
}

bool CrashDetector::StartProbe(base::TimePoint aNow,
                               const base::UpstreamId& aUpstream)
{
  const auto it = mUpstreams.find(aUpstream);
  if (it == mUpstreams.end()) {
    return false;
  }
  Upstream& upstream = it->second;
  upstream.mNeedsProbe = upstream.mIsProbed || aNow < upstream.mNextProbe;
  if (upstream.mNeedsProbe) {
    return false;
  }
  upstream.mProbeInterval = std::clamp(2 * upstream.mProbeInterval,
                                       kMinProbeInterval, kMaxProbeInterval);
  upstream.mNextProbe = aNow + upstream.mProbeInterval;
  upstream.mIsProbed = true;
  return true;
}

bool CrashDetector::OnProbeEnded(base::TimePoint aNow,
                                 const base::UpstreamId& aUpstream)
{
  const auto it = mUpstreams.find(aUpstream);
  if (it == mUpstreams.end()) {
    return false;
  }
  Upstream& upstream = it->second;
  RemoveExpiredFrom(aNow, upstream);
  TakeOutlived(upstream);
  RemoveCancelledIf(upstream, [&](const CancelledAttempt& aIt) {
    return aIt.mSuspectUntil <= aNow; // the probe didn't tell
  });
  upstream.mIsProbed = std::exchange(upstream.mHasBrokenSince, false) &&
                       !upstream.mSuspects.empty();
  return upstream.mIsProbed;
}

std::vector<CrashSuspect> CrashDetector::OnRefusedConnection(
  base::TimePoint aNow, const base::UpstreamId& aUpstream)
{
  const auto it = mUpstreams.find(aUpstream);
  if (it == mUpstreams.end()) {
    return {};
  }
  Upstream& upstream = it->second;
  RemoveExpiredFrom(aNow, upstream);
  TakeOutlived(upstream);
  const base::TimePoint crash = upstream.mSuspects.empty()
                                  ? aNow
                                  : upstream.mSuspects.back().mAttempt.mBroken;
  std::vector<CrashSuspect> found;
  const auto add = [&](const CrashSuspect& aSuspect) {
    const bool isKnown =
      std::any_of(found.begin(), found.end(), [&](const CrashSuspect& aOther) {
        return aOther.mFingerprint == aSuspect.mFingerprint;
      });
    if (!isKnown) {
      found.push_back(aSuspect);
    }
  };
  for (const CrashSuspect& suspect : upstream.mSuspects) {
    add(suspect);
  }
  for (const CancelledAttempt& cancelled : upstream.mCancelled) {
    CrashSuspect suspect = cancelled.mSuspect;
    suspect.mAttempt.mCrashDelay =
      std::max(crash - suspect.mAttempt.mBroken, base::Duration::zero());
    add(suspect);
  }
  upstream.mSuspects.clear();
  RemoveCancelledIf(upstream, [](const CancelledAttempt&) { return true; });
  return found;
}

CancelledCheck CrashDetector::CheckCancelled(base::TimePoint aNow)
{
  CancelledCheck check;
  for (auto& [id, upstream] : mUpstreams) {
    TakeOutlived(upstream);
    const auto& all = upstream.mCancelled;
    if (all.empty()) {
      upstream.mNeedsProbe = false;
      upstream.mProbeInterval = {};
    }
    const bool isEnding =
      std::any_of(all.begin(), all.end(), [&](const CancelledAttempt& aIt) {
        return aIt.mSuspectUntil <= aNow;
      });
    if ((isEnding || upstream.mNeedsProbe) && !upstream.mIsProbed) {
      check.mUnknown.push_back(id);
    }
  }
  check.mOutlived = std::exchange(mOutlived, {});
  return check;
}

std::vector<base::UpstreamId> CrashDetector::Watched() const
{
  std::vector<base::UpstreamId> watched;
  for (const auto& [id, upstream] : mUpstreams) {
    if (!upstream.mCancelled.empty()) {
      watched.push_back(id);
    }
  }
  return watched;
}

void CrashDetector::RemoveExpired(base::TimePoint aNow)
{
  for (auto it = mUpstreams.begin(); it != mUpstreams.end();) {
    RemoveExpiredFrom(aNow, it->second);
    const bool isUnused = it->second.mSuspects.empty() &&
                          it->second.mCancelled.empty() &&
                          !it->second.mIsProbed;
    it = isUnused ? mUpstreams.erase(it) : std::next(it);
  }
}

} // namespace auburnmux::retries
