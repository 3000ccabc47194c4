#pragma once

#include "quotas/src/Actions.h"
#include "quotas/src/Aggregator.h"
#include "quotas/src/Fleet.h"
#include "quotas/src/Leaf.h"
#include "quotas/src/Root.h"

#include <deque>

namespace auburnmux::quotas {

/**
 * Bounds the requests of customers over all hosts. Each host runs this class in
 * all three roles. It does no I/O: the calling code passes events with the
 * elapsed time (suspension included) and carries out the actions in order.
 * \sa docs/design/quotas.md
 */
class QuotaControl
{
public:
  /** \param aRandom differs between processes */
  QuotaControl(base::HostId aSelf, const QuotaSettings& aSettings,
               base::TimePoint aNow, std::uint64_t aRandom);

  /** Sets the customers that have a quota. Without any, nothing is sent. */
  Actions SetQuotas(base::TimePoint aNow, const QuotaTable& aQuotas);
  /** Sets the hosts; to be called when the view changes, and about once a
   * second as silent hosts expire. */
  Actions SetFleet(base::TimePoint aNow, Fleet aFleet);

  /** Takes a token for a request that is about to run. The actions may already
   * contain the answer for a request that waits. */
  Decision Take(base::TimePoint aNow, CustomerHash aCustomer, Actions& aOut);
  /** Takes back the token of a request that hasn't run. */
  Actions GiveBack(base::TimePoint aNow, const Token& aToken);
  /** The request doesn't wait any longer. */
  void Cancel(WaiterId aWaiter) { mLeaf.Cancel(aWaiter); }

  Actions OnReport(base::TimePoint aNow, const base::HostId& aFrom,
                   const Report& aReport);
  Actions OnGrant(base::TimePoint aNow, const base::HostId& aFrom,
                  const Grant& aGrant);
  /** To be called at NextWake() or later. */
  Actions OnTime(base::TimePoint aNow);
  /** \returns when OnTime() is to be called next. */
  base::TimePoint NextWake(base::TimePoint aNow);

  /** \returns the share of the quotas that this host grants as a root. */
  double RootShare(base::TimePoint aNow) { return mRoot.Share(aNow); }

private:
  using Message = std::variant<Report, Grant>;

  void Deliver(base::TimePoint aNow, const base::HostId& aFrom,
               const Message& aMessage, Actions& aOut);
  void Send(const base::HostId& aTo, Message aMessage, Actions& aOut);
  void SendGrants(Outbox& aGrants, Actions& aOut);
  /** Sends what is due, and handles what this host sends to itself. */
  void Process(base::TimePoint aNow, Actions& aOut);
  /** Decides whether this host contributes a share. */
  void UpdateStanding(base::TimePoint aNow);
  HostTotals Totals() const;

  base::HostId mSelf;
  StampClock mClock;
  base::TimePoint mStart;
  Leaf mLeaf;
  Aggregator mAggregator;
  Root mRoot;
  Fleet mFleet;
  base::TimePoint mFleetGrewAt;
  /** Whether this host contributes its share; it doesn't until the other hosts
   * take it into account. */
  bool mIsEstablished = false;
  std::optional<base::TimePoint> mHeardOfOthersAt;
  std::deque<Message> mOwnMessages;
  base::HostId mReportedAggregator;
  base::HostId mReportedRoot;
};

} // namespace auburnmux::quotas
