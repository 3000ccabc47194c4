#include "retries/src/CrashDetector.h"

#include <algorithm>

namespace auburnmux::retries {

namespace {

/** Maximum time between a broken and a refused connection that are attributed
 * to one crash. Processes take about a second to restart. */
constexpr base::Duration kSameCrash = std::chrono::milliseconds(1000);

/** Maximum number of failed requests kept for one upstream; it runs no more
 * than this at a time. */
constexpr std::size_t kMaxFailedRequests = 64;

} // namespace

void CrashDetector::RemoveExpiredFrom(base::TimePoint aNow,
                                      FailedRequests& aRequests)
{
  while (!aRequests.empty() && aNow - aRequests.front().mAt > kSameCrash) {
    aRequests.pop_front();
  }
}

void CrashDetector::OnBroken(base::TimePoint aNow,
                             const base::UpstreamId& aUpstream,
                             Fingerprint aFingerprint)
{
  FailedRequests& requests = mFailedRequests[aUpstream];
  RemoveExpiredFrom(aNow, requests);
  if (requests.size() >= kMaxFailedRequests) {
    requests.pop_front();
  }
  requests.push_back({ aNow, aFingerprint });
}

std::vector<Fingerprint> CrashDetector::OnRefusedConnection(
  base::TimePoint aNow, const base::UpstreamId& aUpstream)
{
  const auto it = mFailedRequests.find(aUpstream);
  if (it == mFailedRequests.end()) {
    return {};
  }
  RemoveExpiredFrom(aNow, it->second);
  std::vector<Fingerprint> found;
  for (const FailedRequest& request : it->second) {
    if (std::find(found.begin(), found.end(), request.mFingerprint) ==
        found.end()) {
      found.push_back(request.mFingerprint);
    }
  }
  mFailedRequests.erase(it);
  return found;
}

void CrashDetector::RemoveExpired(base::TimePoint aNow)
{
  for (auto it = mFailedRequests.begin(); it != mFailedRequests.end();) {
    RemoveExpiredFrom(aNow, it->second);
    it = it->second.empty() ? mFailedRequests.erase(it) : std::next(it);
  }
}

} // namespace auburnmux::retries
