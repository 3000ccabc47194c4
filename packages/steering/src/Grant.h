#pragma once

#include "base/Base.h"

#include <chrono>
#include <cstddef>

namespace auburnmux::steering {

/** Random number by which the receiver recognises its grant. */
using GrantToken = base::Quantity<struct GrantTokenTag>;
/** Correlates an offer with its request; grows over a sender's restarts. */
using Correlation = base::Quantity<struct CorrelationTag>;

/** Time for which a grant holds; a restarted host waits as long. */
inline constexpr base::Duration kGrantLifetime = std::chrono::seconds(2);
/** Senders that a receiver and receivers that a sender keeps track of. */
inline constexpr std::size_t kMaxPartners = 1024;

/** What a sender asks of a receiver: concurrent requests of one service. */
struct GrantAsk
{
  base::HostId mReceiver;
  Correlation mCorrelation;
  base::SlotCount mSlots;
};

/** The receiver's answer; 0 slots refuses. */
struct GrantOffer
{
  Correlation mCorrelation;
  base::SlotCount mSlots;
  GrantToken mToken;
  base::Duration mLifetime{};
};

/** \returns the portion of host \a aIndex of \a aHosts; all add to \a aCap. */
base::SlotCount PortionOfCap(base::SlotCount aCap, std::uint32_t aHosts,
                             std::uint32_t aIndex);

/** What a link between regions may carry for one host and service. */
struct LinkBudget
{
  base::ByteCount mBytesPerSecond;
  base::ByteCount mBytesPerRequest;
  base::Duration mTimePerRequest{};
};

/**
 * \returns the concurrent requests that fill \a aBudget; unlimited while
 * nothing is known about the requests.
 */
base::SlotCount SlotsOfLink(const LinkBudget& aBudget);

} // namespace auburnmux::steering
