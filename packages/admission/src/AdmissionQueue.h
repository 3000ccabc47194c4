#pragma once

#include "base/Base.h"

#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnmux::admission {

/** Identifies a queued request. */
using Ticket = base::Quantity<struct TicketTag>;

/** A request that waits until an upstream has room. */
struct QueuedRequest
{
  Ticket mTicket;
  /** Priority; 0 is the highest. */
  std::uint32_t mRank = 0;
  base::TimePoint mArrived;
  /** Latest time to send it and still meet its latency target. */
  base::TimePoint mSendBy;
  /** Latest time to send it and still get a response before its deadline; the
   * default if its work time isn't known, so that it is never in excess. */
  base::TimePoint mGiveUpAt = base::TimePoint::max();
};

/**
 * Queue of the requests that a host holds until an upstream has room. Requests
 * that can still meet their latency target are served before overdue ones;
 * each of the two groups is ordered by priority, then by arrival time.
 *
 * The order is meant for a backlog, such as after an outage. In order of
 * arrival, every new request would wait for the whole backlog and miss its
 * latency target. In this order new requests are on time at once, and overdue
 * requests use the remaining capacity.
 *
 * In a lasting overload little capacity remains for overdue requests. Those
 * that it won't reach before they are given up are in excess: they are to be
 * refused at once, rather than at their deadline.
 */
class AdmissionQueue
{
public:
  void Add(const QueuedRequest& aRequest);
  /** Removes a request; an unknown ticket is ignored. */
  void Remove(Ticket aTicket);
  /** Records that a queued request is being sent, before Remove(). */
  void OnSent(base::TimePoint aNow, Ticket aTicket);
  /** \returns the requests in excess. */
  std::vector<Ticket> Excess(base::TimePoint aNow);

  bool IsEmpty() const { return mEntries.empty(); }
  std::size_t Size() const { return mEntries.size(); }
  /** \returns up to \a aMaxCount tickets in the order of service. */
  std::vector<Ticket> First(base::TimePoint aNow, std::size_t aMaxCount);

private:
  using SortKey = std::tuple<std::uint32_t, base::TimePoint, std::uint64_t>;

  struct Entry
  {
    QueuedRequest mRequest;
    bool mIsOverdue = false;
  };

  static SortKey SortKeyOf(const QueuedRequest& aRequest);
  /** Moves requests that can no longer meet their latency target to the overdue
   * group. */
  void MoveOverdue(base::TimePoint aNow);
  /** \returns the overdue requests that are sent in one second. */
  double OverdueRate(base::TimePoint aNow) const;

  std::set<SortKey> mOnTime;
  std::set<SortKey> mOverdue;
  std::set<std::pair<base::TimePoint, std::uint64_t>> mBySendTime;
  std::unordered_map<Ticket, Entry> mEntries;
  /** Decaying count of sent overdue requests. */
  double mOverdueSent = 0;
  base::TimePoint mOverdueSentAt;
};

} // namespace auburnmux::admission
