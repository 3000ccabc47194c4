#include "daemon/src/ServiceManager.h"

#include "admission/Admission.h"

#include <algorithm>
#include <utility>

namespace auburnmux::daemon {

namespace {

// Resolution of deadlines and hedges while requests are open.
constexpr base::Duration kBusyTickInterval = std::chrono::milliseconds(5);

// Tick interval while no request is open.
constexpr base::Duration kIdleTickInterval = std::chrono::milliseconds(100);

} // namespace

ServiceManager::ServiceManager(const DaemonContext& aContext,
                               const cluster::ClusterNode& aCluster,
                               RequestDependencies aDependencies)
  : mContext(aContext)
  , mCluster(aCluster)
  , mDependencies(std::move(aDependencies))
{
}

void ServiceManager::Start()
{
  ScheduleTick();
}

void ServiceManager::ScheduleTick()
{
  mIsBusy = OpenRequests() > 0;
  mTimer = mContext.mLoop.After(mIsBusy ? kBusyTickInterval : kIdleTickInterval,
                                [this] { OnTick(); });
}

void ServiceManager::OnTick()
{
  const base::TimePoint now = mContext.mLoop.Now();
  for (auto& [id, service] : mServices) {
    service->OnTick(now);
  }
  for (auto& it : mRetired) {
    it->OnTick(now);
  }
  ScheduleTick();
}

bool ServiceManager::HasLiveHost(const base::DataCentreId& aCentre) const
{
  const auto& view = mCluster.View();
  return std::any_of(view.begin(), view.end(),
                     [&](const membership::HostView& aHost) {
                       return aHost.mHost.mDataCentre == aCentre &&
                              aHost.mState != membership::HostState::Dead;
                     });
}

bool ServiceManager::TakesOver(const config::TopologyFile& aTopology,
                               const config::Region& aRegion,
                               const base::DataCentreId& aCentre) const
{
  if (HasLiveHost(aCentre)) {
    return false;
  }
  const config::DataCentre* nearest = nullptr;
  for (const config::DataCentre& it : aRegion.mDataCentres) {
    if (it.mName == aCentre || !HasLiveHost(it.mName)) {
      continue;
    }
    const bool isNearer =
      nearest == nullptr || aTopology.OneWayDelay(it.mName, aCentre) <
                              aTopology.OneWayDelay(nearest->mName, aCentre);
    nearest = isNearer ? &it : nearest;
  }
  return nearest != nullptr && nearest->mName == mContext.mSettings.mDataCentre;
}

UpstreamShareInputs ServiceManager::MakeShareInputs(
  const config::TopologyFile& aTopology) const
{
  const base::DataCentreId& own = mContext.mSettings.mDataCentre;
  UpstreamShareInputs view;
  view.mDataCentres = { own };
  view.mLiveHosts = mCluster.LiveHostsInDataCentre();
  const config::Region* region = aTopology.RegionOf(own);
  if (region == nullptr) {
    return view;
  }
  for (const config::DataCentre& it : region->mDataCentres) {
    if (it.mName != own && TakesOver(aTopology, *region, it.mName)) {
      view.mDataCentres.push_back(it.mName);
    }
  }
  // Connections are divided among all hosts that the topology allows in the
  // region. Only their number is known, so the names are placeholders.
  const auto n = aTopology.HostSlotsOfRegion(region->mName).Count();
  view.mPossibleHosts = { mContext.mSettings.mHost };
  for (std::uint32_t i = 1; i < n; ++i) {
    view.mPossibleHosts.emplace_back("possible-" + std::to_string(i));
  }
  return view;
}

void ServiceManager::Configure(const config::Snapshot& aSnapshot)
{
  const UpstreamShareInputs view = MakeShareInputs(aSnapshot.mTopology);
  for (auto it = mServices.begin(); it != mServices.end();) {
    if (aSnapshot.FindService(it->first) == nullptr) {
      mRetired.push_back(std::move(it->second));
      it = mServices.erase(it);
    } else {
      ++it;
    }
  }
  for (const config::ServiceFile& it : aSnapshot.mServices) {
    auto& service = mServices[it.mService];
    if (!service) {
      service = std::make_unique<ServiceRuntime>(mContext, mDependencies, it);
    }
    service->Configure(it, view);
  }
}

ServiceRuntime* ServiceManager::Find(const base::ServiceId& aService)
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? nullptr : it->second.get();
}

std::optional<http::Endpoint> ServiceManager::FindStaying(
  const base::UpstreamId& aId) const
{
  for (const auto& [id, service] : mServices) {
    UpstreamSet& upstreams = service->Upstreams();
    const http::Endpoint* endpoint = upstreams.Find(aId);
    if (endpoint != nullptr && !upstreams.IsLeaving(aId)) {
      return *endpoint;
    }
  }
  return std::nullopt;
}

void ServiceManager::Accept(
  const std::shared_ptr<http::ServerExchange>& aExchange)
{
  const http::RequestHead& head = aExchange->Head();
  ServiceRuntime* service = Find(SplitServicePath(head.mPath).mService);
  if (service == nullptr) {
    SendRefusal(*aExchange,
                { 404, base::WorkOutcome::NotRun,
                  "no service of this name is in force", std::nullopt });
    return;
  }
  auto plan =
    PlanRequest(head, service->File(), mContext.mLoop.Now(), mContext.mRandom);
  if (const auto* refusal = std::get_if<Refusal>(&plan)) {
    SendRefusal(*aExchange, *refusal);
    return;
  }
  auto& accepted = std::get<RequestPlan>(plan);
  const base::TimePoint now = mContext.mLoop.Now();
  const base::Duration timeLeft = accepted.mDeadline - now;
  if (mExitAt &&
      !admission::EndsBeforeExit(*mExitAt - now, { timeLeft, timeLeft })) {
    SendRefusal(*aExchange,
                { 503, base::WorkOutcome::NotRun, "this host is stopping",
                  std::chrono::seconds(1) });
    return;
  }
  if (!accepted.mGrant) {
    accepted.mForeignRegion = mDependencies.mForeignRegion(head.mClientAddress);
  }
  service->Accept(aExchange, std::move(accepted));
  if (!mIsBusy) {
    mContext.mLoop.Cancel(mTimer);
    ScheduleTick();
  }
}

std::vector<SlotMeasurement> ServiceManager::Measure() const
{
  std::vector<SlotMeasurement> result;
  for (const auto& [id, service] : mServices) {
    result.push_back(service->Measure());
  }
  return result;
}

std::size_t ServiceManager::OpenRequests() const
{
  std::size_t n = 0;
  for (const auto& [id, service] : mServices) {
    n += service->OpenRequests();
  }
  for (const auto& it : mRetired) {
    n += it->OpenRequests();
  }
  return n;
}

} // namespace auburnmux::daemon
