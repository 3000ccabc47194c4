#pragma once

#include "membership/src/Host.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace auburnmux::membership {

/** Observers of a host, and hosts that a host observes on average. */
inline constexpr std::size_t kObservers = 4;
/** Updates in one message besides the sender's own. */
inline constexpr std::size_t kMaxUpdates = 16;
/** Hosts that a view holds; claims about further hosts are ignored. */
inline constexpr std::size_t kMaxHosts = 4096;
/** Names accepted in the list of confirming observers of a claim. */
inline constexpr std::size_t kMaxConfirmations = kObservers;

/** Times of the failure detector. The daemon keeps the defaults. */
struct Timing
{
  base::Duration mHeartbeat = std::chrono::milliseconds(250);
  /** Interval at which the daemon calls `Membership::OnTick`. */
  base::Duration mTick = std::chrono::milliseconds(50);
  base::Duration mSuspectAfter = std::chrono::milliseconds(1000);
  /** Above a pause of 2 s plus one heartbeat and a round trip. */
  base::Duration mDeadAfter = std::chrono::milliseconds(2600);
  /** A later tick means that this host itself was paused. */
  base::Duration mLateTick = std::chrono::milliseconds(500);
  /** Age up to which an observer vouches for a host it heard. */
  base::Duration mFreshEvidence = std::chrono::milliseconds(500);
  /** Interval of contacts to a dead, unknown or random host. */
  base::Duration mContact = std::chrono::milliseconds(1000);
  /** A dead host is forgotten after this. */
  base::Duration mForgetDead = std::chrono::hours(1);
};

/** What a host knows at its start. */
struct MembershipSettings
{
  HostIdentity mSelf;
  std::vector<PeerAddress> mSeeds;
  Timing mTiming;
};

} // namespace auburnmux::membership
