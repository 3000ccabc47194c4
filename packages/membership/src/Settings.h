#pragma once

#include "membership/src/Host.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace auburnmux::membership {

/** Observers of each host; also the mean number of hosts that a host
 * observes. */
inline constexpr std::size_t kObserversPerHost = 4;
/** Maximum updates in one message, besides the sender's own. */
inline constexpr std::size_t kMaxUpdates = 16;
/** Maximum hosts in a view. Updates about further hosts are ignored. */
inline constexpr std::size_t kMaxHosts = 4096;
/** Maximum confirming observers in an update. */
inline constexpr std::size_t kMaxConfirmations = kObserversPerHost;

/** Intervals and timeouts of the membership protocol. The daemon uses the
 * defaults. */
struct Timing
{
  base::Duration mHeartbeatInterval = std::chrono::milliseconds(250);
  /** Interval at which `Membership::OnTick` is called. */
  base::Duration mTickInterval = std::chrono::milliseconds(50);
  /** Silence after which an observer suspects a host. */
  base::Duration mSuspectAfter = std::chrono::milliseconds(1000);
  /** Silence after which an observer reports a host as dead. Longer than a
   * pause of 2 s plus one heartbeat interval and a round trip. */
  base::Duration mDeadAfter = std::chrono::milliseconds(2600);
  /** A longer gap between two ticks means that this host itself was paused. */
  base::Duration mPauseThreshold = std::chrono::milliseconds(500);
  /** Maximum age of a host's last message for which an observer still reports
   * the host as alive. */
  base::Duration mMaxEvidenceAge = std::chrono::milliseconds(500);
  /** Interval between contacts to a dead, unknown or random live host. */
  base::Duration mContactInterval = std::chrono::milliseconds(1000);
  /** Time after which a dead host is removed from the table. */
  base::Duration mDeadRetention = std::chrono::hours(1);
};

/** Initial settings of a host. */
struct MembershipSettings
{
  HostIdentity mSelf;
  std::vector<PeerAddress> mSeeds;
  Timing mTiming;
};

} // namespace auburnmux::membership
