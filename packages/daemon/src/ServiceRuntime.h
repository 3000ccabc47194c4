#pragma once

#include "daemon/src/ClaimGate.h"
#include "daemon/src/RequestCarrier.h"
#include "daemon/src/Shared.h"
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
struct Gates
{
  ClaimGate& mClaims;
  SpillGate& mSpill;
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
  ServiceRuntime(const Shared& aShared, Gates& aGates,
                 const config::ServiceFile& aService);

  void Configure(const config::ServiceFile& aService, const CarrierView& aView);

  /** Takes over a request whose head was accepted. */
  void Accept(const std::shared_ptr<http::ServerExchange>& aExchange,
              RequestPlan aPlan);
  /** Checks deadlines, hedges, stalls and stragglers, and serves the queue. */
  void OnTick(base::TimePoint aNow);
  /** Moves waiting requests to other data centres, as far as grants go. */
  void MoveWaiting();
  /** \returns what the grants to other data centres are computed from. */
  SlotMeasurement Measure() const;

  std::size_t InFlight() const;
  std::uint32_t Queued() const;
  /** \returns requests that are not finished. */
  std::size_t OpenRequests() const { return mCarriers.size(); }
  UpstreamSet& Upstreams() { return mUpstreams; }
  const config::ServiceFile& File() const { return mFile; }

  // What the requests use.
  const Shared& Context() const { return mShared; }
  Gates& GetGates() { return mGates; }
  retries::RetryBudget& Budget() { return mBudget; }
  retries::HedgePolicy& Hedge() { return mHedge; }
  limits::Admission& Admission() { return mAdmission; }
  limits::AdmissionLoad Load(base::WorkClass aClass, base::TimePoint aNow);
  base::AttemptId NextAttemptId() { return base::AttemptId(++mLastAttempt); }
  bool HasWaiting() const { return Queued() > 0; }
  void Enqueue(RequestCarrier& aCarrier);
  void RemoveFromQueue(limits::QueuedId aId);
  /** A slot may be free: serves the queue. */
  void Pump();
  void OnFinished(limits::QueuedId aId);

private:
  void Drop(const std::vector<limits::QueueEntry>& aEntries,
            const char* aReason);
  std::shared_ptr<RequestCarrier> Find(limits::QueuedId aId) const;
  bool ServeOne(base::TimePoint aNow);
  void BoundStragglers(base::TimePoint aNow);
  void ProbeLeaving(base::TimePoint aNow);
  void ReportWaiting(base::TimePoint aNow);

  const Shared& mShared;
  Gates& mGates;
  config::ServiceFile mFile;
  UpstreamSet mUpstreams;
  limits::DeadlineQueue mQueue;
  limits::Admission mAdmission;
  retries::RetryBudget mBudget;
  retries::HedgePolicy mHedge;
  std::unordered_map<limits::QueuedId, std::shared_ptr<RequestCarrier>>
    mCarriers;
  std::uint64_t mLastRequest = 0;
  std::uint64_t mLastAttempt = 0;
  base::TimePoint mNextStragglerCheck;
  base::TimePoint mNextLeavingProbe;
  bool mIsPumping = false;
};

} // namespace auburnmux::daemon
