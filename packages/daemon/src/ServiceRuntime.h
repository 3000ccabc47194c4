#pragma once

#include "daemon/src/ClaimInterface.h"
#include "daemon/src/DaemonContext.h"
#include "daemon/src/RequestForwarder.h"
#include "daemon/src/SpillService.h"
#include "daemon/src/UpstreamSet.h"

#include "limits/Limits.h"
#include "retries/Retries.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace auburnmux::daemon {

/** Tells peers about a request that crashes upstreams. */
using CrashReporter =
  std::function<void(const base::ServiceId&, const retries::CrashRecord&)>;

/** What requests need from other parts of the host. */
struct RequestDependencies
{
  ClaimInterface& mClaims;
  SpillInterface& mSpill;
  retries::CrashQuarantine& mQuarantine;
  CrashReporter mReportCrash;
  /** \returns the region of a client's address when it is another one. */
  std::function<std::optional<base::RegionId>(const std::string&)>
    mForeignRegion;
};

/** All requests of one service at this host, and what they share. */
class ServiceRuntime
{
public:
  ServiceRuntime(const DaemonContext& aContext,
                 RequestDependencies& aDependencies,
                 const config::ServiceFile& aService);

  void Configure(const config::ServiceFile& aService,
                 const UpstreamShareInputs& aInputs);

  /** Takes over a request whose head was accepted. */
  void Accept(const std::shared_ptr<http::ServerExchange>& aExchange,
              RequestPlan aPlan);
  /** Checks deadlines, hedges, stalls and stragglers, and serves the queue. */
  void OnTick(base::TimePoint aNow);
  /** Moves waiting requests to other data centres, as far as grants go. */
  void SpillQueuedRequests();
  /** \returns what the grants to other data centres are computed from. */
  SlotMeasurement Measure() const;

  std::size_t InFlight() const;
  std::uint32_t Queued() const;
  /** \returns requests that are not finished. */
  std::size_t OpenRequests() const { return mForwarders.size(); }
  UpstreamSet& Upstreams() { return mUpstreams; }
  const config::ServiceFile& File() const { return mFile; }

  // What the requests use.
  const DaemonContext& Context() const { return mContext; }
  RequestDependencies& Dependencies() { return mDependencies; }
  retries::RetryBudget& Budget() { return mBudget; }
  retries::HedgePolicy& Hedge() { return mHedge; }
  limits::Admission& Admission() { return mAdmission; }
  limits::AdmissionLoad Load(base::WorkClass aClass, base::TimePoint aNow);
  base::AttemptId NextAttemptId() { return base::AttemptId(++mLastAttempt); }
  bool HasQueued() const { return Queued() > 0; }
  void Enqueue(RequestForwarder& aForwarder);
  void RemoveFromQueue(limits::QueuedId aId);
  /** A slot may be free: serves the queue. */
  void DispatchQueued();
  void OnFinished(limits::QueuedId aId);

private:
  void Drop(const std::vector<limits::QueueEntry>& aEntries,
            const char* aReason);
  std::shared_ptr<RequestForwarder> Find(limits::QueuedId aId) const;
  bool DispatchNext(base::TimePoint aNow);
  void CancelStragglers(base::TimePoint aNow);
  void ProbeLeavingUpstreams(base::TimePoint aNow);
  void ReportQueueLength(base::TimePoint aNow);

  const DaemonContext& mContext;
  RequestDependencies& mDependencies;
  config::ServiceFile mFile;
  UpstreamSet mUpstreams;
  limits::DeadlineQueue mQueue;
  limits::Admission mAdmission;
  retries::RetryBudget mBudget;
  retries::HedgePolicy mHedge;
  std::unordered_map<limits::QueuedId, std::shared_ptr<RequestForwarder>>
    mForwarders;
  std::uint64_t mLastRequest = 0;
  std::uint64_t mLastAttempt = 0;
  base::TimePoint mNextStragglerCheck;
  base::TimePoint mNextLeavingProbe;
  bool mIsDispatching = false;
};

} // namespace auburnmux::daemon
