#include "daemon/src/ServiceRuntime.h"

#include <utility>

namespace auburnmux::daemon {

namespace {

constexpr base::Duration kStragglerInterval = std::chrono::milliseconds(250);
constexpr base::Duration kLeavingProbeInterval = std::chrono::seconds(5);
/** The upstreams' health page; any other path would count as new work. */
constexpr const char* kHealthPath = "/health";
constexpr base::Duration kProbeTimeout = std::chrono::seconds(1);
constexpr std::chrono::seconds kRetryAfter{ 1 };

/** Passes the events of a caller's connection to its request. */
class CallerObserver final : public http::RequestObserver
{
public:
  explicit CallerObserver(std::shared_ptr<RequestCarrier> aCarrier)
    : mCarrier(std::move(aCarrier))
  {
  }
  void OnBody(std::string_view aPart) override
  {
    mCarrier->OnRequestBody(aPart);
  }
  void OnBodyEnd() override { mCarrier->OnRequestEnd(); }
  void OnWritable() override { mCarrier->OnCallerWritable(); }
  void OnClosed(bool /*aIsComplete*/) override { mCarrier->OnCallerGone(); }

private:
  std::shared_ptr<RequestCarrier> mCarrier;
};

} // namespace

ServiceRuntime::ServiceRuntime(const Shared& aShared, Gates& aGates,
                               const config::ServiceFile& aService)
  : mShared(aShared)
  , mGates(aGates)
  , mFile(aService)
  , mUpstreams(aShared)
{
}

void ServiceRuntime::Configure(const config::ServiceFile& aService,
                               const CarrierView& aView)
{
  mFile = aService;
  mUpstreams.Configure(mShared.mLoop.Now(), aService, aView);
  Pump();
}

void ServiceRuntime::Accept(
  const std::shared_ptr<http::ServerExchange>& aExchange, RequestPlan aPlan)
{
  const limits::QueuedId id(++mLastRequest);
  auto carrier =
    std::make_shared<RequestCarrier>(*this, id, aExchange, std::move(aPlan));
  mCarriers.emplace(id, carrier);
  carrier->Start();
  aExchange->Observe(std::make_unique<CallerObserver>(carrier));
}

std::shared_ptr<RequestCarrier> ServiceRuntime::Find(limits::QueuedId aId) const
{
  const auto it = mCarriers.find(aId);
  return it == mCarriers.end() ? nullptr : it->second;
}

limits::AdmissionLoad ServiceRuntime::Load(base::WorkClass aClass,
                                           base::TimePoint aNow)
{
  return { mQueue.Size(aClass), mUpstreams.FreeSlots(aNow),
           mUpstreams.TotalSlots() };
}

void ServiceRuntime::Enqueue(RequestCarrier& aCarrier)
{
  Drop(mQueue.Push(aCarrier.MakeQueueEntry()), "the queue is full");
  ReportWaiting(mShared.mLoop.Now());
}

void ServiceRuntime::RemoveFromQueue(limits::QueuedId aId)
{
  mQueue.Remove(aId);
  ReportWaiting(mShared.mLoop.Now());
}

void ServiceRuntime::ReportWaiting(base::TimePoint aNow)
{
  balancing::VisitPool(mUpstreams.Pool(), [&](auto& aPool) {
    aPool.OnQueueLength(aNow, Queued());
  });
}

void ServiceRuntime::Drop(const std::vector<limits::QueueEntry>& aEntries,
                          const char* aReason)
{
  for (const limits::QueueEntry& it : aEntries) {
    if (const auto carrier = Find(it.mId)) {
      carrier->OnRemovedFromQueue(
        { 503, base::WorkOutcome::NotRun, aReason, kRetryAfter });
    }
  }
}

void ServiceRuntime::Pump()
{
  if (std::exchange(mIsPumping, true)) {
    return;
  }
  const base::TimePoint now = mShared.mLoop.Now();
  while (Queued() > 0 && ServeOne(now)) {
  }
  mIsPumping = false;
  ReportWaiting(now);
}

bool ServiceRuntime::ServeOne(base::TimePoint aNow)
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
  const auto carrier = Find(popped.mNext->mId);
  return !carrier || carrier->OnDequeued();
}

void ServiceRuntime::OnTick(base::TimePoint aNow)
{
  Drop(mQueue.Expire(aNow), "the deadline passed in the queue");
  std::vector<std::shared_ptr<RequestCarrier>> carriers;
  carriers.reserve(mCarriers.size());
  for (const auto& [id, carrier] : mCarriers) {
    carriers.push_back(carrier);
  }
  for (const auto& it : carriers) {
    it->OnTick(aNow);
  }
  if (aNow >= mNextStragglerCheck) {
    mNextStragglerCheck = aNow + kStragglerInterval;
    BoundStragglers(aNow);
  }
  if (aNow >= mNextLeavingProbe) {
    mNextLeavingProbe = aNow + kLeavingProbeInterval;
    ProbeLeaving(aNow);
  }
  Pump();
}

void ServiceRuntime::BoundStragglers(base::TimePoint aNow)
{
  const auto median = mHedge.Median(base::WorkClass::Short);
  if (!median || !mShared.mMechanisms.mBalancing) {
    return;
  }
  std::unordered_map<base::UpstreamId, std::vector<limits::RunningRequest>>
    running;
  std::unordered_map<base::AttemptId, std::shared_ptr<RequestCarrier>> owners;
  for (const auto& [id, carrier] : mCarriers) {
    const RequestPlan& plan = carrier->Plan();
    for (const auto& attempt : carrier->Attempts()) {
      const auto* upstream = std::get_if<base::UpstreamId>(&attempt->Target());
      if (upstream != nullptr && plan.mClass == base::WorkClass::Short) {
        running[*upstream].push_back(
          { attempt->Id(), attempt->StartTime(),
            plan.mKind == base::WorkKind::Idempotent });
        owners[attempt->Id()] = carrier;
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

void ServiceRuntime::ProbeLeaving(base::TimePoint aNow)
{
  // Only an upstream that announced its leaving itself can announce its
  // return; one that the configuration names stays out.
  for (const auto& it : mUpstreams.Status(aNow)) {
    const http::Endpoint* endpoint = mUpstreams.Find(it.mId);
    if (!it.mLeaving || mFile.IsLeaving(it.mId) || endpoint == nullptr) {
      continue;
    }
    http::ClientRequest request;
    request.mEndpoint = *endpoint;
    request.mTarget = kHealthPath;
    request.mNeedsFreshConnection = true;
    http::Fetch(mShared.mLoop, mShared.mClient, request, {}, kProbeTimeout,
                [this, id = it.mId](const http::FetchResult& aResult) {
                  if (aResult.IsOk() &&
                      !aResult.mHead.mHeaders.Find("upstream-state")) {
                    balancing::VisitPool(mUpstreams.Pool(), [&](auto& aPool) {
                      aPool.OnReadySignal(mShared.mLoop.Now(), id);
                    });
                  }
                });
  }
}

void ServiceRuntime::MoveWaiting()
{
  std::vector<std::shared_ptr<RequestCarrier>> waiting;
  for (const auto& [id, carrier] : mCarriers) {
    if (carrier->IsQueued()) {
      waiting.push_back(carrier);
    }
  }
  for (const auto& it : waiting) {
    if (!it->TryMove()) {
      return;
    }
  }
}

SlotMeasurement ServiceRuntime::Measure() const
{
  SlotMeasurement result;
  result.mService = mFile.mService;
  result.mShare = mUpstreams.TotalSlots();
  for (const auto& [id, carrier] : mCarriers) {
    if (carrier->IsQueued()) {
      result.mWaiting += base::SlotCount(1);
    }
    if (!carrier->IsFromElsewhere()) {
      result.mLocal += base::SlotCount(1);
    }
  }
  return result;
}

std::size_t ServiceRuntime::InFlight() const
{
  std::size_t n = 0;
  for (const auto& [id, carrier] : mCarriers) {
    n += carrier->Attempts().size();
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
  mCarriers.erase(aId);
  Pump();
}

} // namespace auburnmux::daemon
