#pragma once

#include "quotas/src/Actions.h"
#include "quotas/src/DemandRate.h"
#include "quotas/src/Requester.h"
#include "quotas/src/TokenStock.h"

#include <deque>
#include <unordered_map>

namespace auburnmux::quotas {

/** The leaf role: gives tokens to requests, and asks the aggregator for more.
 */
class Leaf
{
public:
  explicit Leaf(StampClock& aClock)
    : mRequester({ Level::Aggregator, 2 * kLease, kReportSpacing, true },
                 aClock)
  {
  }

  void SetQuotas(base::TimePoint aNow, const QuotaTable& aQuotas,
                 Actions& aOut);
  void SetTargets(base::TimePoint aNow, std::vector<base::HostId> aTargets)
  {
    mRequester.SetTargets(aNow, std::move(aTargets));
  }
  void SetHosts(const HostTotals& aHosts) { mRequester.SetHosts(aHosts); }

  Decision Take(base::TimePoint aNow, CustomerHash aCustomer);
  void GiveBack(base::TimePoint aNow, const Token& aToken, Actions& aOut);
  void Cancel(WaiterId aWaiter);

  void OnGrant(base::TimePoint aNow, const base::HostId& aFrom,
               const Grant& aGrant, Actions& aOut);
  /** Refuses requests that have waited for too long, and moves on from a silent
   * aggregator. */
  void OnTime(base::TimePoint aNow, Actions& aOut);

  /** \returns when a report to the aggregator is due. */
  base::TimePoint NextSend() const;
  /** \returns when OnTime() has something to do. */
  base::TimePoint NextTimeout() const;
  /** \returns the report to be sent to Target() now. */
  Report MakeReport(base::TimePoint aNow);
  const base::HostId& Target() const { return mRequester.Target(); }
  /** \returns the last known standing of the group of hosts. */
  Standing GroupStanding() const { return mStanding; }

private:
  struct Waiter
  {
    WaiterId mId;
    base::TimePoint mDeadline;
    /** The first report that includes the request. */
    std::optional<Stamp> mReportedBy;
  };

  struct Customer
  {
    Quota mQuota;
    base::TimePoint mQuotaSince;
    TokenStock mStock;
    DemandRate mRate;
    base::TimePoint mDeniedUntil;
    std::deque<Waiter> mWaiters;
    bool mIsShort = false;
  };

  struct Deadline
  {
    base::TimePoint mTime;
    CustomerHash mCustomer;
  };

  void ServeWaiters(base::TimePoint aNow, CustomerHash aId, Customer& aCustomer,
                    Actions& aOut);
  /** Refuses the requests that the answered report includes. */
  void RefuseReported(Customer& aCustomer, Stamp aAnswered,
                      base::Duration aRetryAfter, Actions& aOut);
  void CheckStock(base::TimePoint aNow, Customer& aCustomer);

  Requester mRequester;
  std::unordered_map<CustomerHash, Customer> mCustomers;
  std::unordered_map<WaiterId, CustomerHash> mWaiters;
  std::deque<Deadline> mDeadlines;
  std::uint64_t mLastWaiter = 0;
  Standing mStanding = Standing::Unknown;
  /** Whether requests wait that no report includes. */
  bool mHasUnreported = false;
  bool mIsShort = false;
};

} // namespace auburnmux::quotas
