#pragma once

#include "admission/src/FairOrder.h"
#include "admission/src/QueuedRequest.h"

#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace auburnmux::admission {

/**
 * Waiting requests, ordered by the customer's rank, the route's rank, and the
 * arrival. Each request of a service takes the place of one of the same ranks:
 * among these, FairOrder decides. So a service's place among other services
 * depends on arrivals only, and with at most one customer all requests are in
 * order of arrival.
 */
class RankedRequests
{
public:
  void Add(const QueuedRequest& aRequest);
  void Remove(const QueuedRequest& aRequest);
  /** A request is being sent; if it waited, before Remove(). */
  void OnSent(const QueuedRequest& aRequest);
  /** \returns whether a request that arrives now would be served before all
   * those that wait for the same service. */
  bool IsNext(const QueuedRequest& aRequest) const;

private:
  /** Service, customer's rank and route's rank. */
  using Class = std::tuple<base::ServiceId, std::uint32_t, std::uint32_t>;
  /** Ranks, arrival, ticket and the order of the class. */
  struct Place
  {
    std::tuple<std::uint32_t, std::uint32_t, base::TimePoint, std::uint64_t>
      mKey;
    const FairOrder* mOrder = nullptr;

    friend bool operator<(const Place& aLeft, const Place& aRight)
    {
      return aLeft.mKey < aRight.mKey;
    }
  };

  static Class ClassOf(const QueuedRequest& aRequest);
  static FairOrder::Position PositionOf(const QueuedRequest& aRequest);
  static Place PlaceOf(const QueuedRequest& aRequest, const FairOrder* aOrder);

  std::set<Place> mPlaces;
  std::map<Class, FairOrder> mClasses;

public:
  /** Passes over the requests in the order of service. Changes of the requests
   * invalidate it. */
  class Cursor
  {
  public:
    explicit Cursor(const RankedRequests& aRequests);
    bool IsAtEnd() const { return mPlace == mEnd; }
    /** \returns the next request. \pre !IsAtEnd() */
    Ticket Next();

  private:
    std::set<Place>::const_iterator mPlace;
    std::set<Place>::const_iterator mEnd;
    std::unordered_map<const FairOrder*, FairOrder::Cursor> mCursors;
  };
};

} // namespace auburnmux::admission
