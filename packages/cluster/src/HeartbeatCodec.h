#pragma once

#include "membership/Membership.h"
#include "protocol/Protocol.h"

namespace auburnmux::cluster {

/** \returns the message `Heartbeat` for \a aPayload. */
protocol::Envelope ToHeartbeat(const membership::HeartbeatPayload& aPayload);
/** \returns the message `HeartbeatAck` for \a aPayload. */
protocol::Envelope ToHeartbeatAck(const membership::HeartbeatPayload& aPayload);

/**
 * \returns the content of a heartbeat or its acknowledgement, or nothing when
 * it has no sender or breaks a bound.
 */
std::optional<membership::HeartbeatPayload> FromWire(
  const protocol::Heartbeat& aMessage);
std::optional<membership::HeartbeatPayload> FromWire(
  const protocol::HeartbeatAck& aMessage);

} // namespace auburnmux::cluster
