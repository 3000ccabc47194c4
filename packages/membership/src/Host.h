#pragma once

#include "base/Base.h"

#include <cstdint>
#include <optional>
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

/** Sequence number of the refutations of one incarnation of a host. A higher
 * one overrides a lower one. */
using Refutation = base::Quantity<struct RefutationTag>;
/** Matches an acknowledgement to its heartbeat. 0 requests no
 * acknowledgement. */
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

/** Capacity of a host. 0 means unknown. */
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
 * A statement about the state of a host. With exactly one name in
 * \a mConfirmedBy it is a measurement by that observer and doesn't change the
 * receiver's view by itself: Alive means that the observer heard the host
 * within `Timing::mMaxEvidenceAge`, Suspect that it had no direct or reported
 * sign of life for `Timing::mSuspectAfter`, and Dead for `Timing::mDeadAfter`.
 * With no name or several it is the state that the observers agreed on.
 */
struct HostUpdate
{
  HostIdentity mHost;
  Refutation mRefutation;
  HostState mState = HostState::Alive;
  std::vector<base::HostId> mConfirmedBy;

  bool IsMeasurement() const { return mConfirmedBy.size() == 1; }
};

/** Revision of the platform's state. */
using StateRevision = base::Quantity<struct StateRevisionTag>;

/** Newest change that a host has of each part of the platform's state; empty
 * for a host that doesn't read it. */
using StateRevisions = std::vector<StateRevision>;

/** Era of the platform's state, which is incremented each time the platform
 * came back from an older copy; 0 while it reports none. Revisions are issued
 * again in a new era. */
using StateEra = base::Quantity<struct StateEraTag>;

/** A point in the history of the platform's state. */
struct StatePosition
{
  StateEra mEra;
  StateRevision mRevision;

  friend bool operator==(const StatePosition& aLeft,
                         const StatePosition& aRight)
  {
    return aLeft.mEra == aRight.mEra && aLeft.mRevision == aRight.mRevision;
  }
  friend bool operator<(const StatePosition& aLeft, const StatePosition& aRight)
  {
    return aLeft.mEra != aRight.mEra ? aLeft.mEra < aRight.mEra
                                     : aLeft.mRevision < aRight.mRevision;
  }
  friend bool operator<=(const StatePosition& aLeft,
                         const StatePosition& aRight)
  {
    return !(aRight < aLeft);
  }
};

/** The changes of the platform's state that a host has. */
struct StateSummary
{
  StateRevisions mRevisions;
  /** Unset for hosts of versions that don't know eras. */
  std::optional<StateEra> mEra;
};

/** Maximum number of parts of the state in a message. */
constexpr std::size_t kMaxStateParts = 8;

/** Content of the messages Heartbeat and HeartbeatAck. */
struct HeartbeatPayload
{
  /** The sender's state as it reports it. On the wire: the first update. */
  HostUpdate mSender;
  HeartbeatNumber mNumber;
  /** Configuration version in force at the sender. */
  base::ConfigVersion mConfigVersion;
  std::vector<HostUpdate> mUpdates;
  StateSummary mState;
};

/** An entry of the platform's list of hosts, which may be out of date. */
struct Candidate
{
  base::HostId mId;
  PeerAddress mPeer;
};

} // namespace auburnmux::membership
