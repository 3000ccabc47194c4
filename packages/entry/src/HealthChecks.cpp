#include "entry/src/HealthChecks.h"

#include <algorithm>

namespace auburnmux::entry {

namespace {

constexpr base::Duration kCheckTimeout = std::chrono::seconds(1);

} // namespace

HealthChecks::HealthChecks(Services& aServices)
  : mServices(aServices)
{
}

void HealthChecks::OnTick()
{
  for (const base::UpstreamId& it :
       mServices.mPlacement.DueChecks(mServices.mLoop.Now())) {
    Check(it);
  }
}

void HealthChecks::Check(const base::UpstreamId& aUpstream)
{
  const auto endpoint = mServices.mEndpoints.find(aUpstream);
  const auto service = mServices.mPlacement.ServiceOf(aUpstream);
  if (endpoint == mServices.mEndpoints.end() || !service) {
    return;
  }
  http::ClientRequest request;
  request.mEndpoint = endpoint->second;
  request.mTarget = mServices.mRoutes.Policy(*service).mHealthPath;
  request.mNeedsFreshConnection = true;
  request.mConnectTimeout = kCheckTimeout;
  http::Fetch(mServices.mLoop, mServices.mClient, request, "", kCheckTimeout,
              [this, aUpstream](const http::FetchResult& aResult) {
                OnChecked(aUpstream, aResult);
              });
}

void HealthChecks::OnChecked(const base::UpstreamId& aUpstream,
                             const http::FetchResult& aResult)
{
  HealthFacts facts;
  bool isHealthy = aResult.IsOk();
  if (isHealthy) {
    facts = mServices.mTranslator.ReadHealth(aResult.mHead);
    isHealthy = !facts.mUpstream || *facts.mUpstream == aUpstream;
  }
  base::LogInfo(
    base::LogLine("health_checked")
      .With("upstream", aUpstream)
      .With("healthy", isHealthy)
      .With("status", aResult.mFailure ? 0 : aResult.mHead.mStatus));
  // An upstream that was away may have started again.
  const auto service = mServices.mPlacement.ServiceOf(aUpstream);
  const base::Duration cold =
    service
      ? std::max(facts.mColdFor, mServices.mRoutes.Policy(*service).mColdTime)
      : facts.mColdFor;
  mServices.mPlacement.OnCheck(mServices.mLoop.Now(), aUpstream, isHealthy,
                               cold);
}

} // namespace auburnmux::entry
