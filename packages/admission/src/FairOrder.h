#pragma once

#include "base/Base.h"
#include "customers/Customers.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace auburnmux::admission {

/**
 * Order of waiting requests by start-time fair queueing: each customer's next
 * request has a virtual start time, which rises by one over the customer's
 * weight with each request sent; the lowest one is served first. Requests of
 * one customer are in order of arrival.
 *
 * A customer that starts to wait begins at the virtual time, which is the start
 * time of the request sent last. So nobody gains by having been idle, and a
 * customer that sends many requests waits behind its own.
 */
class FairOrder
{
public:
  /** Time of arrival and ticket of a request. */
  using Position = std::pair<base::TimePoint, std::uint64_t>;

  void Add(const customers::CustomerId& aCustomer, double aWeight,
           const Position& aPosition);
  void Remove(const customers::CustomerId& aCustomer,
              const Position& aPosition);
  /** A request of the customer is being sent; if it waited, before Remove(). */
  void OnSent(const customers::CustomerId& aCustomer, double aWeight);

  bool IsEmpty() const { return mSize == 0; }
  /** \returns whether a request of the customer that arrives now would be
   * served first. */
  bool IsNext(const customers::CustomerId& aCustomer) const;

  /** Passes over the requests in the order of service, as if each were sent.
   * Changes of the order invalidate it. */
  class Cursor
  {
  public:
    explicit Cursor(const FairOrder& aOrder);
    /** \returns the next request's ticket. \pre there is one */
    std::uint64_t Next();

  private:
    struct Head
    {
      double mStart = 0;
      double mStep = 0;
      std::set<Position>::const_iterator mNext;
      std::set<Position>::const_iterator mEnd;
    };
    /** \returns whether the first one is served after the second one. */
    static bool IsLater(const Head& aLeft, const Head& aRight);

    /** A heap; the customer that is served next is the first one. */
    std::vector<Head> mHeads;
  };

private:
  struct Flow
  {
    /** Virtual start time of the customer's next request. */
    double mStart = 0;
    double mWeight = 1;
    std::set<Position> mWaiting;
  };

  /** Removes customers without an effect on the order. */
  void Prune();

  std::map<customers::CustomerId, Flow> mFlows;
  double mVirtualTime = 0;
  std::size_t mSize = 0;
};

} // namespace auburnmux::admission
