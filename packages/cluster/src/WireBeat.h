#pragma once

#include "membership/Membership.h"
#include "protocol/Protocol.h"

namespace auburnmux::cluster {

/** \returns the message `Heartbeat` for \a aBeat. */
protocol::Envelope ToHeartbeat(const membership::Beat& aBeat);
/** \returns the message `HeartbeatAck` for \a aBeat. */
protocol::Envelope ToHeartbeatAck(const membership::Beat& aBeat);

/**
 * \returns the content of a heartbeat or its acknowledgement, or nothing when
 * it has no sender or breaks a bound.
 */
std::optional<membership::Beat> FromWire(const protocol::Heartbeat& aMessage);
std::optional<membership::Beat> FromWire(
  const protocol::HeartbeatAck& aMessage);

} // namespace auburnmux::cluster
