#pragma once

#include "base/Base.h"

#include <chrono>
#include <cstddef>

namespace auburnmux::steering {

/** Random number by which the receiver identifies its grant. */
using GrantToken = base::Quantity<struct GrantTokenTag>;
/** Matches an offer to its request; keeps increasing across restarts of the
 * sender. */
using Correlation = base::Quantity<struct CorrelationTag>;

/** Time for which a grant is valid. A restarted host issues no grants for this
 * time, because grants from before the restart may still be valid. */
inline constexpr base::Duration kGrantLifetime = std::chrono::seconds(2);
/** Limit on the senders that a receiver tracks and on the receivers that a
 * sender tracks. */
inline constexpr std::size_t kMaxTrackedHosts = 1024;

/** A sender's request to a receiver for slots: concurrent requests of one
 * service. */
struct SlotRequest
{
  base::HostId mReceiver;
  Correlation mCorrelation;
  base::SlotCount mSlots;
};

/** The receiver's reply; 0 slots means that it refuses. */
struct GrantOffer
{
  Correlation mCorrelation;
  base::SlotCount mSlots;
  GrantToken mToken;
  base::Duration mLifetime{};
};

/** \returns the portion of host \a aIndex of \a aHosts; the portions of all
 * hosts add up to \a aCap. */
base::SlotCount PortionOfCap(base::SlotCount aCap, std::uint32_t aHosts,
                             std::uint32_t aIndex);

/** Bandwidth of a link between regions for one host and service. */
struct LinkBudget
{
  base::ByteCount mBytesPerSecond;
  base::ByteCount mBytesPerRequest;
  base::Duration mTimePerRequest{};
};

/**
 * \returns the number of concurrent requests that use up \a aBudget; unlimited
 * while the size or the duration of the requests is unknown.
 */
base::SlotCount LinkConcurrencyLimit(const LinkBudget& aBudget);

} // namespace auburnmux::steering
