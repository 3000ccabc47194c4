#pragma once

#include "admission/src/QueuedRequest.h"
#include "admission/src/RankedRequests.h"

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnmux::admission {

/**
 * Queue of the requests that a host holds until an upstream has room. Requests
 * that can still meet their latency target are served before overdue ones;
 * each of the two groups is ordered by the customer's and the route's priority,
 * then fairly over the customers of each service, then by arrival time.
 *
 * The order is meant for a backlog, such as after an outage. In order of
 * arrival, every new request would wait for the whole backlog and miss its
 * latency target. In this order new requests are on time at once, and overdue
 * requests use the remaining capacity.
 *
 * In a lasting overload little capacity remains for overdue requests. Those
 * that it won't reach before they are given up are in excess: they are to be
 * refused at once, rather than at their deadline.
 *
 * The fair part of the order is meant for customers that send several times
 * their usual rate while others share the same slots: one customer in five
 * sends 5 times its usual rate for seconds, on slots with a quarter to spare.
 * In order of arrival, all customers then miss their latency targets. In the
 * fair order those that send at their usual rate hardly wait, and the excess is
 * that of the customer whose virtual start time is furthest ahead, as its
 * requests are the last ones.
 */
class AdmissionQueue
{
public:
  void Add(const QueuedRequest& aRequest);
  /** Removes a request; an unknown ticket is ignored. */
  void Remove(Ticket aTicket);
  /** Records that a queued request is being sent, before Remove(). */
  void OnSent(base::TimePoint aNow, Ticket aTicket);
  /** Records that a request is being sent that didn't wait. */
  void OnSentDirectly(const QueuedRequest& aRequest);
  /** \returns whether a request that arrives now would be served before all
   * queued ones of its service. */
  bool IsNext(base::TimePoint aNow, const QueuedRequest& aRequest);
  /** \returns the requests in excess. */
  std::vector<Ticket> Excess(base::TimePoint aNow);

  bool IsEmpty() const { return mEntries.empty(); }
  std::size_t Size() const { return mEntries.size(); }
  /**
   * \returns up to \a aMaxCount tickets in the order of service. While others
   * wait, at most a quarter of them are of one customer: requests that only few
   * upstreams may handle would otherwise keep the rest from being tried.
   */
  std::vector<Ticket> First(base::TimePoint aNow, std::size_t aMaxCount);

private:
  struct Entry
  {
    QueuedRequest mRequest;
    bool mIsOverdue = false;
  };

  /** Moves requests that can no longer meet their latency target to the overdue
   * group. */
  void MoveOverdue(base::TimePoint aNow);
  /** \returns the overdue requests that are sent in one second. */
  double OverdueRate(base::TimePoint aNow) const;

  RankedRequests mOnTime;
  RankedRequests mOverdue;
  std::set<std::pair<base::TimePoint, std::uint64_t>> mBySendTime;
  std::unordered_map<Ticket, Entry> mEntries;
  /** Decaying count of sent overdue requests. */
  double mOverdueSent = 0;
  base::TimePoint mOverdueSentAt;
};

} // namespace auburnmux::admission
