#pragma once

#include "crashes/Crashes.h"
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

/** Parts of the daemon that requests use. */
struct RequestDependencies
{
  ClaimInterface& mClaims;
  SpillInterface& mSpill;
  crashes::CrashWatch& mCrashes;
  /** \returns the region of a client address if it differs from this host's. */
  std::function<std::optional<base::RegionId>(const std::string&)>
    mForeignRegion;
};

/** The open requests of one service on this host, with their queue, upstreams,
 * admission control, retry budget and hedge policy. */
class ServiceRuntime
{
public:
  ServiceRuntime(const DaemonContext& aContext,
                 RequestDependencies& aDependencies,
                 const config::ServiceFile& aService);

  void Configure(const config::ServiceFile& aService,
                 const UpstreamShareInputs& aInputs);

  /** Starts handling a request whose plan was accepted. */
  void Accept(const std::shared_ptr<http::ServerExchange>& aExchange,
              RequestPlan aPlan);
  /** Checks deadlines, hedges, stalls and stragglers, and serves the queue. */
  void OnTick(base::TimePoint aNow);
  /** Forwards queued requests to other data centres until no grant is left. */
  void SpillQueuedRequests();
  /** \returns the slot use from which grants are computed. */
  SlotMeasurement Measure() const;

  std::size_t InFlight() const;
  std::uint32_t Queued() const;
  /** \returns the number of unfinished requests. */
  std::size_t OpenRequests() const { return mForwarders.size(); }
  UpstreamSet& Upstreams() { return mUpstreams; }
  const config::ServiceFile& File() const { return mFile; }

  // Used by the requests of this service.
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
  /** Dispatches queued requests while slots are free. */
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
