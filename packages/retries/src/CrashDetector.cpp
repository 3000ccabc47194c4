#include "retries/src/CrashDetector.h"

#include <algorithm>

namespace auburnmux::retries {

namespace {

/** Maximum time between a broken and a refused connection that are attributed
 * to one crash. Processes take about a second to restart. */
constexpr base::Duration kCrashWindow = std::chrono::milliseconds(1000);

/** Maximum number of broken requests kept for one upstream; it runs no more
 * than this at a time. */
constexpr std::size_t kMaxBrokenRequests = 64;

} // namespace

void CrashDetector::DropExpired(base::TimePoint aNow, BrokenRequests& aRequests)
{
  while (!aRequests.empty() && aNow - aRequests.front().mAt > kCrashWindow) {
    aRequests.pop_front();
  }
}

void CrashDetector::OnBroken(base::TimePoint aNow,
                             const base::UpstreamId& aUpstream,
                             Fingerprint aFingerprint)
{
  BrokenRequests& requests = mBrokenRequests[aUpstream];
  DropExpired(aNow, requests);
  if (requests.size() >= kMaxBrokenRequests) {
    requests.pop_front();
  }
  requests.push_back({ aNow, aFingerprint });
}

std::vector<Fingerprint> CrashDetector::OnRefusedConnection(
  base::TimePoint aNow, const base::UpstreamId& aUpstream)
{
  const auto it = mBrokenRequests.find(aUpstream);
  if (it == mBrokenRequests.end()) {
    return {};
  }
  DropExpired(aNow, it->second);
  std::vector<Fingerprint> fingerprints;
  for (const BrokenRequest& broken : it->second) {
    if (std::find(fingerprints.begin(), fingerprints.end(),
                  broken.mFingerprint) == fingerprints.end()) {
      fingerprints.push_back(broken.mFingerprint);
    }
  }
  mBrokenRequests.erase(it);
  return fingerprints;
}

void CrashDetector::RemoveExpired(base::TimePoint aNow)
{
  for (auto it = mBrokenRequests.begin(); it != mBrokenRequests.end();) {
    DropExpired(aNow, it->second);
    it = it->second.empty() ? mBrokenRequests.erase(it) : std::next(it);
  }
}

} // namespace auburnmux::retries
