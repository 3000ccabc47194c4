#pragma once

#include "quotas/src/ClientTable.h"
#include "quotas/src/DemandRate.h"
#include "quotas/src/Outbox.h"
#include "quotas/src/Requester.h"
#include "quotas/src/TokenStock.h"

#include <set>

namespace auburnmux::quotas {

/** The aggregator role: merges the demands of the hosts of a data centre into
 * one report to the root, and divides what comes back. */
class Aggregator
{
public:
  explicit Aggregator(StampClock& aClock);

  void SetTargets(base::TimePoint aNow, std::vector<base::HostId> aTargets)
  {
    mRequester.SetTargets(aNow, std::move(aTargets));
  }

  void OnReport(base::TimePoint aNow, const base::HostId& aFrom,
                const Report& aReport, Outbox& aOut);
  void OnGrant(base::TimePoint aNow, const base::HostId& aFrom,
               const Grant& aGrant, Outbox& aOut);
  /** Moves on from a silent root and answers reports that waited for it. */
  void OnTime(base::TimePoint aNow, Outbox& aOut);

  /** \returns when a report to the root is due. */
  base::TimePoint NextSend(base::TimePoint aNow);
  /** \returns when OnTime() has something to do. */
  base::TimePoint NextTimeout() const;
  /** \returns the report to be sent to Target() now. */
  Report MakeReport(base::TimePoint aNow);
  const base::HostId& Target() const { return mRequester.Target(); }

private:
  /** State of a customer. */
  struct Pool
  {
    TokenStock mStock;
    DemandRate mRate;
    base::TimePoint mDeniedUntil;
    base::TimePoint mLastUse;
    /** Whether tokens were given out since the last report. */
    bool mIsUsed = false;
  };

  /** A report that isn't answered yet. */
  struct Pending
  {
    base::HostId mHost;
    Stamp mStamp;
    base::TimePoint mSince;
    std::vector<Demand> mDemands;
    /** The report to the root that contains the demands. */
    std::optional<Stamp> mCover;
    /** Set if the host waits for the end of its attachment: the last report to
     * the root that may still contain it. */
    std::optional<Stamp> mRelease;
  };

  /** Customers of which the root had no more tokens, in the grant that is being
   * divided. */
  using Denied = std::set<CustomerHash>;

  bool IsComplete(base::TimePoint aNow, const Pending& aPending);
  bool IsHeld(base::TimePoint aNow, const Pending& aPending) const;
  /** Answers the reports of which \a aIsReady holds, dividing the stock evenly
   * if it is short. */
  template<typename Predicate>
  void AnswerIf(base::TimePoint aNow, const Denied& aDenied, Outbox& aOut,
                Predicate aIsReady);
  void AnswerComplete(base::TimePoint aNow, Outbox& aOut);
  void Divide(base::TimePoint aNow, const std::vector<Pending>& aReady,
              const Denied& aDenied, Outbox& aOut);
  Pool* FindOrAdd(base::TimePoint aNow, CustomerHash aCustomer);
  std::vector<Demand> MergedDemands(base::TimePoint aNow);
  void RemoveIdle(base::TimePoint aNow);

  StampClock& mClock;
  ClientTable mClients;
  Requester mRequester;
  std::unordered_map<CustomerHash, Pool> mPools;
  std::vector<Pending> mPending;
  Standing mStanding = Standing::Unknown;
  base::TimePoint mNextRemoval;
};

} // namespace auburnmux::quotas
