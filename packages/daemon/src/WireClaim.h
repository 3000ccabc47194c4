#pragma once

#include "idempotency/Idempotency.h"
#include "protocol/Protocol.h"

#include <optional>

namespace auburnmux::daemon {

protocol::Envelope ToWire(const idempotency::SendClaimRequest& aAction);
protocol::Envelope ToWire(const idempotency::SendClaimOutcome& aAction);
protocol::Envelope ToWire(const idempotency::SendClaimRelease& aAction);
protocol::Envelope ToWire(const idempotency::SendClaimQueryAnswer& aAction);
protocol::Envelope ToWire(const idempotency::SendClaimReply& aAction);
protocol::Envelope ToWire(const idempotency::SendClaimQuery& aAction);

/** \returns the verdict, or nullopt for an unknown enum value. */
std::optional<idempotency::ClaimVerdict> FromWire(
  protocol::ClaimReply::Verdict aVerdict);
/** \returns the state, or nullopt for an unknown enum value. */
std::optional<idempotency::HolderState> FromWire(
  protocol::ClaimQueryReply::State aState);

/** \returns the outcome in a message that has the outcome fields. */
template<typename Message>
idempotency::Outcome ReadOutcome(const Message& aMessage)
{
  return idempotency::Bounded(
    { idempotency::StatusCode(static_cast<std::uint16_t>(aMessage.status())),
      aMessage.body(), aMessage.content_type(), aMessage.is_body_omitted() });
}

} // namespace auburnmux::daemon
