#include "daemon/src/ServiceRuntime.h"

#include <utility>

namespace auburnmux::daemon {

namespace {

constexpr base::Duration kStragglerCheckInterval =
  std::chrono::milliseconds(250);
constexpr base::Duration kLeavingProbeInterval = std::chrono::seconds(5);
/** Path of the upstreams' health check. An upstream would count a request for
 * any other path as new work. */
constexpr const char* kHealthPath = "/health";
constexpr base::Duration kProbeTimeout = std::chrono::seconds(1);
constexpr std::chrono::seconds kRetryAfter{ 1 };

/** Forwards the events of a caller's connection to its request. */
class CallerObserver final : public http::RequestObserver
{
public:
  explicit CallerObserver(std::shared_ptr<RequestForwarder> aForwarder)
    : mForwarder(std::move(aForwarder))
  {
  }
  void OnBody(std::string_view aPart) override
  {
    mForwarder->OnRequestBody(aPart);
  }
  void OnBodyEnd() override { mForwarder->OnRequestEnd(); }
  void OnWritable() override { mForwarder->OnCallerWritable(); }
  void OnResponseDue() override { mForwarder->OnResponseDue(); }
  void OnClosed(bool /*aIsComplete*/) override { mForwarder->OnCallerGone(); }

private:
  std::shared_ptr<RequestForwarder> mForwarder;
};

} // namespace

ServiceRuntime::ServiceRuntime(const DaemonContext& aContext,
                               RequestDependencies& aDependencies,
                               const config::ServiceFile& aService)
  : mContext(aContext)
  , mDependencies(aDependencies)
  , mFile(aService)
  , mUpstreams(aContext)
{
}

void ServiceRuntime::Configure(const config::ServiceFile& aService,
                               const UpstreamShareInputs& aInputs)
{
  mFile = aService;
  mUpstreams.Configure(mContext.mLoop.Now(), aService, aInputs);
  DispatchQueued();
}

void ServiceRuntime::Accept(
  const std::shared_ptr<http::ServerExchange>& aExchange, RequestPlan aPlan)
{
  const limits::QueuedId id(++mLastRequest);
  auto forwarder =
    std::make_shared<RequestForwarder>(*this, id, aExchange, std::move(aPlan));
  mForwarders.emplace(id, forwarder);
  forwarder->Start();
  aExchange->Observe(std::make_unique<CallerObserver>(forwarder));
}

std::shared_ptr<RequestForwarder> ServiceRuntime::Find(
  limits::QueuedId aId) const
{
  const auto it = mForwarders.find(aId);
  return it == mForwarders.end() ? nullptr : it->second;
}

limits::AdmissionLoad ServiceRuntime::Load(base::WorkClass aClass,
                                           base::TimePoint aNow)
{
  return { mQueue.Size(aClass), mUpstreams.FreeSlots(aNow),
           mUpstreams.TotalSlots() };
}

void ServiceRuntime::Enqueue(RequestForwarder& aForwarder)
{
  Drop(mQueue.Push(aForwarder.MakeQueueEntry()), "the queue is full");
  ReportQueueLength(mContext.mLoop.Now());
}

void ServiceRuntime::RemoveFromQueue(limits::QueuedId aId)
{
  mQueue.Remove(aId);
  ReportQueueLength(mContext.mLoop.Now());
}

void ServiceRuntime::ReportQueueLength(base::TimePoint aNow)
{
  balancing::VisitPool(mUpstreams.Pool(), [&](auto& aPool) {
    aPool.OnQueueLength(aNow, Queued());
  });
}

void ServiceRuntime::Drop(const std::vector<limits::QueueEntry>& aEntries,
                          const char* aReason)
{
  for (const limits::QueueEntry& it : aEntries) {
    if (const auto forwarder = Find(it.mId)) {
      forwarder->OnRemovedFromQueue(
        { 503, base::WorkOutcome::NotRun, aReason, kRetryAfter });
    }
  }
}

void ServiceRuntime::DispatchQueued()
{
  if (std::exchange(mIsDispatching, true)) {
    return;
  }
  const base::TimePoint now = mContext.mLoop.Now();
  while (Queued() > 0 && DispatchNext(now)) {
  }
  mIsDispatching = false;
  ReportQueueLength(now);
}

bool ServiceRuntime::DispatchNext(base::TimePoint aNow)
{
  if (mUpstreams.FreeSlots(aNow) == base::SlotCount(0)) {
    return false;
  }
  const auto workClass = mQueue.NextClass();
  if (!workClass) {
    return false;
  }
  const limits::Popped popped =
    mQueue.Pop(aNow, *workClass, mAdmission.ServiceTime(*workClass));
  Drop(popped.mExpired, "the deadline can't be met");
  if (!popped.mNext) {
    return !popped.mExpired.empty();
  }
  const auto forwarder = Find(popped.mNext->mId);
  return !forwarder || forwarder->OnDequeued();
}

void ServiceRuntime::OnTick(base::TimePoint aNow)
{
  Drop(mQueue.Expire(aNow), "the deadline passed in the queue");
  std::vector<std::shared_ptr<RequestForwarder>> forwarders;
  forwarders.reserve(mForwarders.size());
  for (const auto& [id, forwarder] : mForwarders) {
    forwarders.push_back(forwarder);
  }
  for (const auto& it : forwarders) {
    it->OnTick(aNow);
  }
  if (aNow >= mNextStragglerCheck) {
    mNextStragglerCheck = aNow + kStragglerCheckInterval;
    CancelStragglers(aNow);
  }
  if (aNow >= mNextLeavingProbe) {
    mNextLeavingProbe = aNow + kLeavingProbeInterval;
    ProbeLeavingUpstreams(aNow);
  }
  DispatchQueued();
}

void ServiceRuntime::CancelStragglers(base::TimePoint aNow)
{
  const auto median = mHedge.Median(base::WorkClass::Short);
  if (!median || !mContext.mFeatures.mBalancing) {
    return;
  }
  std::unordered_map<base::UpstreamId, std::vector<limits::RunningRequest>>
    running;
  std::unordered_map<base::AttemptId, std::shared_ptr<RequestForwarder>> owners;
  for (const auto& [id, forwarder] : mForwarders) {
    const RequestPlan& plan = forwarder->Plan();
    for (const auto& attempt : forwarder->Attempts()) {
      const auto* upstream = std::get_if<base::UpstreamId>(&attempt->Target());
      if (upstream != nullptr && plan.mClass == base::WorkClass::Short) {
        running[*upstream].push_back(
          { attempt->Id(), attempt->StartTime(),
            plan.mKind == base::WorkKind::Idempotent });
        owners[attempt->Id()] = forwarder;
      }
    }
  }
  for (const auto& [upstream, requests] : running) {
    const auto decision = limits::StragglerBound::Decide(
      aNow, *median, mUpstreams.Share(upstream), requests);
    for (const base::AttemptId it : decision.mCancel) {
      owners[it]->OnStraggler(it);
    }
  }
}

void ServiceRuntime::ProbeLeavingUpstreams(base::TimePoint aNow)
{
  // Only an upstream that announced itself as leaving is probed for its return.
  // One that the configuration marks as leaving stays out of rotation.
  for (const auto& it : mUpstreams.Status(aNow)) {
    const http::Endpoint* endpoint = mUpstreams.Find(it.mId);
    if (!it.mLeaving || mFile.IsLeaving(it.mId) || endpoint == nullptr) {
      continue;
    }
    http::ClientRequest request;
    request.mEndpoint = *endpoint;
    request.mTarget = kHealthPath;
    request.mNeedsFreshConnection = true;
    http::Fetch(mContext.mLoop, mContext.mClient, request, {}, kProbeTimeout,
                [this, id = it.mId](const http::FetchResult& aResult) {
                  if (aResult.IsOk() &&
                      !aResult.mHead.mHeaders.Find("upstream-state")) {
                    balancing::VisitPool(mUpstreams.Pool(), [&](auto& aPool) {
                      aPool.OnReadySignal(mContext.mLoop.Now(), id);
                    });
                  }
                });
  }
}

void ServiceRuntime::SpillQueuedRequests()
{
  std::vector<std::shared_ptr<RequestForwarder>> waiting;
  for (const auto& [id, forwarder] : mForwarders) {
    if (forwarder->IsQueued()) {
      waiting.push_back(forwarder);
    }
  }
  for (const auto& it : waiting) {
    if (!it->TrySpillQueued()) {
      return;
    }
  }
}

SlotMeasurement ServiceRuntime::Measure() const
{
  SlotMeasurement result;
  result.mService = mFile.mService;
  result.mShare = mUpstreams.TotalSlots();
  for (const auto& [id, forwarder] : mForwarders) {
    if (forwarder->IsQueued()) {
      result.mWaiting += base::SlotCount(1);
    }
    if (!forwarder->IsAdmittedByGrant()) {
      result.mLocal += base::SlotCount(1);
    }
  }
  return result;
}

std::size_t ServiceRuntime::InFlight() const
{
  std::size_t n = 0;
  for (const auto& [id, forwarder] : mForwarders) {
    n += forwarder->Attempts().size();
  }
  return n;
}

std::uint32_t ServiceRuntime::Queued() const
{
  return mQueue.Size(base::WorkClass::Short) +
         mQueue.Size(base::WorkClass::Long);
}

void ServiceRuntime::OnFinished(limits::QueuedId aId)
{
  mForwarders.erase(aId);
  DispatchQueued();
}

} // namespace auburnmux::daemon
