#pragma once

#include "base/Base.h"

#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburnmux::admission {

/** Names a waiting request. */
using Ticket = base::Quantity<struct TicketTag>;

/** A request that waits for room at an upstream. */
struct Waiter
{
  Ticket mTicket;
  /** Importance; 0 is the highest. */
  std::uint32_t mRank = 0;
  base::TimePoint mArrived;
  /** When it has to be sent at the latest to meet its latency target. */
  base::TimePoint mSendBy;
};

/**
 * The requests that a host holds back because no upstream has room for them,
 * in the order in which they are served: first those that can still meet their
 * latency target, then the late ones; in each group the more important first,
 * then the older.
 *
 * The load it answers is a backlog, such as after an outage: served in the
 * order of arrival, every request would wait for the backlog and be late; this
 * way new requests are in time at once, and the late ones get what is left.
 */
class WaitingRoom
{
public:
  void Add(const Waiter& aWaiter);
  /** Unknown tickets are ignored. */
  void Remove(Ticket aTicket);

  bool IsEmpty() const { return mEntries.empty(); }
  std::size_t Size() const { return mEntries.size(); }
  /** \returns the first \a aMost tickets in the order of service. */
  std::vector<Ticket> First(base::TimePoint aNow, std::size_t aMost);

private:
  using Place = std::tuple<std::uint32_t, base::TimePoint, std::uint64_t>;

  struct Entry
  {
    Waiter mWaiter;
    bool mIsLate = false;
  };

  static Place PlaceOf(const Waiter& aWaiter);
  /** Moves those that can no longer be in time to the late ones. */
  void MoveLate(base::TimePoint aNow);

  std::set<Place> mTimely;
  std::set<Place> mLate;
  std::set<std::pair<base::TimePoint, std::uint64_t>> mBySendTime;
  std::unordered_map<Ticket, Entry> mEntries;
};

} // namespace auburnmux::admission
