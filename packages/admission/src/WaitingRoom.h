#pragma once

#include "base/Base.h"

#include <set>
#include <tuple>
#include <unordered_map>
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
};

/**
 * The requests that a host holds back because no upstream has room for them,
 * in the order in which they are served: the more important first, then the
 * older.
 */
class WaitingRoom
{
public:
  void Add(const Waiter& aWaiter);
  /** Unknown tickets are ignored. */
  void Remove(Ticket aTicket);

  bool IsEmpty() const { return mOrder.empty(); }
  std::size_t Size() const { return mOrder.size(); }
  /** \returns the first \a aMost tickets in the order of service. */
  std::vector<Ticket> First(std::size_t aMost) const;

private:
  using Place = std::tuple<std::uint32_t, base::TimePoint, std::uint64_t>;

  std::set<Place> mOrder;
  std::unordered_map<Ticket, Place> mPlaces;
};

} // namespace auburnmux::admission
