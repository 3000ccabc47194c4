#pragma once

#include "membership/src/Host.h"

#include <variant>
#include <vector>

namespace auburnmux::membership {

/** Send a `Heartbeat` message; number 0 is gossip that needs no answer. */
struct SendHeartbeat
{
  PeerAddress mTo;
  Beat mBeat;
};

/** Send a `HeartbeatAck` message. */
struct SendHeartbeatAck
{
  PeerAddress mTo;
  Beat mBeat;
};

/** A host entered a state in this host's view. */
struct HostChanged
{
  HostIdentity mHost;
  HostState mState = HostState::Alive;
  /** Observers whose silence timers led to Dead; empty otherwise. */
  std::vector<base::HostId> mConfirmedBy;
};

/** A peer has a newer configuration in force than this host. */
struct ConfigAnnounced
{
  HostIdentity mHost;
  base::ConfigVersion mVersion;
};

using Action =
  std::variant<SendHeartbeat, SendHeartbeatAck, HostChanged, ConfigAnnounced>;
using Actions = std::vector<Action>;

} // namespace auburnmux::membership
