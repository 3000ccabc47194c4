#include "retries/src/CrashDetector.h"

#include <algorithm>
#include <utility>

namespace auburnmux::retries {

namespace {

/** Maximum time between a broken and a refused connection that are attributed
 * to one crash. Processes take about a second to restart. */
constexpr base::Duration kSameCrash = std::chrono::milliseconds(1000);

/** Maximum number of failed requests kept for one upstream; it runs no more
 * than this at a time. */
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

bool CrashDetector::OnProbeEnded(base::TimePoint aNow,
                                 const base::UpstreamId& aUpstream)
{
  const auto it = mUpstreams.find(aUpstream);
  if (it == mUpstreams.end()) {
    return false;
  }
  Upstream& upstream = it->second;
  RemoveExpiredFrom(aNow, upstream);
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
  RemoveExpiredFrom(aNow, it->second);
  std::vector<CrashSuspect> found;
  for (const CrashSuspect& suspect : it->second.mSuspects) {
    const bool isKnown =
      std::any_of(found.begin(), found.end(), [&](const CrashSuspect& aOther) {
        return aOther.mFingerprint == suspect.mFingerprint;
      });
    if (!isKnown) {
      found.push_back(suspect);
    }
  }
  it->second.mSuspects.clear();
  return found;
}

void CrashDetector::RemoveExpired(base::TimePoint aNow)
{
  for (auto it = mUpstreams.begin(); it != mUpstreams.end();) {
    RemoveExpiredFrom(aNow, it->second);
    const bool isUnused = it->second.mSuspects.empty() && !it->second.mIsProbed;
    it = isUnused ? mUpstreams.erase(it) : std::next(it);
  }
}

} // namespace auburnmux::retries
