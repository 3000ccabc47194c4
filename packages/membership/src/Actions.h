#pragma once

#include "membership/src/Host.h"

#include <variant>
#include <vector>

namespace auburnmux::membership {

/** Send a `Heartbeat` message. With number 0 it is gossip and isn't
 * acknowledged. */
struct SendHeartbeat
{
  PeerAddress mTo;
  HeartbeatPayload mPayload;
};

/** Send a `HeartbeatAck` message. */
struct SendHeartbeatAck
{
  PeerAddress mTo;
  HeartbeatPayload mPayload;
};

/** The state of a host changed in this host's view. */
struct HostChanged
{
  HostIdentity mHost;
  HostState mState = HostState::Alive;
  /** Observers that confirmed the state Dead; empty otherwise. */
  std::vector<base::HostId> mConfirmedBy;
};

/** A peer has a newer configuration in force than this host. */
struct ConfigAnnounced
{
  HostIdentity mHost;
  base::ConfigVersion mVersion;
};

/** A peer has changes of the platform's state that this host hasn't announced.
 */
struct StateAnnounced
{
  HostIdentity mHost;
  StateSummary mState;
};

using Action = std::variant<SendHeartbeat, SendHeartbeatAck, HostChanged,
                            ConfigAnnounced, StateAnnounced>;
using Actions = std::vector<Action>;

} // namespace auburnmux::membership
