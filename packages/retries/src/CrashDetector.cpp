#include "retries/src/CrashDetector.h"

#include <algorithm>

namespace auburnmux::retries {

namespace {

/** Maximum time between a broken and a refused connection that are attributed
 * to one crash. Processes take about a second to restart. */
constexpr base::Duration kSameCrash = std::chrono::milliseconds(1000);

/** Maximum number of broken requests kept for one upstream; it runs no more
 * than this at a time. */
constexpr std::size_t kMaxBreaks = 64;

} // namespace

void CrashDetector::DropOld(base::TimePoint aNow, Breaks& aBreaks)
{
  while (!aBreaks.empty() && aNow - aBreaks.front().mAt > kSameCrash) {
    aBreaks.pop_front();
  }
}

void CrashDetector::OnBroken(base::TimePoint aNow,
                             const base::UpstreamId& aUpstream,
                             Fingerprint aFingerprint)
{
  Breaks& breaks = mBroken[aUpstream];
  DropOld(aNow, breaks);
  if (breaks.size() >= kMaxBreaks) {
    breaks.pop_front();
  }
  breaks.push_back({ aNow, aFingerprint });
}

std::vector<Fingerprint> CrashDetector::OnRefusedConnection(
  base::TimePoint aNow, const base::UpstreamId& aUpstream)
{
  const auto it = mBroken.find(aUpstream);
  if (it == mBroken.end()) {
    return {};
  }
  DropOld(aNow, it->second);
  std::vector<Fingerprint> found;
  for (const Broken& broken : it->second) {
    if (std::find(found.begin(), found.end(), broken.mFingerprint) ==
        found.end()) {
      found.push_back(broken.mFingerprint);
    }
  }
  mBroken.erase(it);
  return found;
}

void CrashDetector::RemoveExpired(base::TimePoint aNow)
{
  for (auto it = mBroken.begin(); it != mBroken.end();) {
    DropOld(aNow, it->second);
    it = it->second.empty() ? mBroken.erase(it) : std::next(it);
  }
}

} // namespace auburnmux::retries
