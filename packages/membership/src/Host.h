#pragma once

#include "base/Base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnmux::membership {

/**
 * State of a host in a view. At equal incarnation and refutation a later
 * value overrides an earlier one.
 */
enum class HostState
{
  Alive,
  Suspect,
  Leaving,
  Dead
};

/** Orders the refutations that one incarnation of a host has issued. */
using Refutation = base::Quantity<struct RefutationTag>;
/** Correlates a heartbeat with its acknowledgement; 0 expects none. */
using HeartbeatNumber = base::Quantity<struct HeartbeatNumberTag>;

/** Where a host receives messages from its peers. */
struct PeerAddress
{
  std::string mAddress;
  base::PortNumber mPort;

  friend bool operator==(const PeerAddress& aLeft, const PeerAddress& aRight)
  {
    return aLeft.mAddress == aRight.mAddress && aLeft.mPort == aRight.mPort;
  }
  friend bool operator<(const PeerAddress& aLeft, const PeerAddress& aRight)
  {
    return aLeft.mAddress != aRight.mAddress ? aLeft.mAddress < aRight.mAddress
                                             : aLeft.mPort < aRight.mPort;
  }
};

/** Capacity of a network link, in Mbit/s. */
using LinkRate = base::Quantity<struct LinkRateTag, std::uint32_t>;
/** Processor time that a host has, in thousandths of a core. */
using MilliCores = base::Quantity<struct MilliCoresTag, std::uint32_t>;

/** What a host can carry; 0 where it is unknown. */
struct HostCapacity
{
  LinkRate mLink;
  MilliCores mProcessor;
};

/** One process on one host, as it describes itself. */
struct HostIdentity
{
  base::HostId mId;
  base::Incarnation mIncarnation;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  std::string mAddress;
  base::PortNumber mHttpPort;
  base::PortNumber mPeerPort;
  HostCapacity mCapacity{};

  PeerAddress Peer() const { return { mAddress, mPeerPort }; }
};

/**
 * A claim about a host. With exactly one name in \a mConfirmedBy it is what
 * that observer measured and doesn't change the receiver's view by itself:
 * Alive, it heard the host within `Timing::mFreshEvidence`; Suspect, it has
 * not heard it for `Timing::mSuspectAfter`; Dead, for `Timing::mDeadAfter`.
 * With no name or several it is what the observers agreed on.
 */
struct HostUpdate
{
  HostIdentity mHost;
  Refutation mRefutation;
  HostState mState = HostState::Alive;
  std::vector<base::HostId> mConfirmedBy;

  bool IsMeasurement() const { return mConfirmedBy.size() == 1; }
};

/** Content of both Heartbeat and HeartbeatAck. */
struct Beat
{
  /** The sender's claim about itself. On the wire: the first update. */
  HostUpdate mSender;
  HeartbeatNumber mNumber;
  /** Version in force at the sender. */
  base::ConfigVersion mConfigVersion;
  std::vector<HostUpdate> mUpdates;
};

/** An entry of the platform's lagging list of hosts. */
struct Candidate
{
  base::HostId mId;
  PeerAddress mPeer;
};

} // namespace auburnmux::membership
