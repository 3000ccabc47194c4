#pragma once

#include "base/Base.h"
#include "customers/Customers.h"

#include <optional>

namespace auburnmux::admission {

/** Identifies a queued request. */
using Ticket = base::Quantity<struct TicketTag>;

/** A request that waits until an upstream has room. */
struct QueuedRequest
{
  Ticket mTicket;
  /** Priority of its route; 0 is the highest. */
  std::uint32_t mRank = 0;
  base::TimePoint mArrived;
  /** Latest time to send it and still meet its latency target. */
  base::TimePoint mSendBy;
  /** Latest time to send it and still get a response before its deadline; the
   * default if its work time isn't known, so that it is never in excess. */
  base::TimePoint mGiveUpAt = base::TimePoint::max();
  base::ServiceId mService;
  /** Empty for an anonymous request, and where no customers are configured. */
  customers::CustomerId mCustomer;
  /** Priority of its customer; the route's if unset. */
  std::optional<std::uint32_t> mCustomerRank;
  /** Share of the customer, relative to others that wait for the service. */
  double mWeight = 1;
};

} // namespace auburnmux::admission
