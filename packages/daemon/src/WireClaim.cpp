#include "daemon/src/WireClaim.h"

namespace auburnmux::daemon {

namespace {

using idempotency::ClaimVerdict;
using idempotency::HolderState;

template<typename Message>
void WriteOutcome(const idempotency::Outcome& aOutcome, Message& aOut)
{
  aOut.set_status(aOutcome.mStatus.Count());
  aOut.set_body(aOutcome.mBody);
  aOut.set_content_type(aOutcome.mContentType);
  aOut.set_is_body_omitted(aOutcome.mIsBodyOmitted);
}

template<typename Message>
void WriteKey(const idempotency::IdempotencyKey& aKey,
              idempotency::AttemptNumber aAttempt, Message& aOut)
{
  aOut.set_key(std::string(aKey.Bytes()));
  aOut.set_attempt(aAttempt.Count());
}

protocol::ClaimReply::Verdict ToWire(ClaimVerdict aVerdict)
{
  switch (aVerdict) {
    case ClaimVerdict::Granted:
      return protocol::ClaimReply::GRANTED;
    case ClaimVerdict::Ran:
      return protocol::ClaimReply::RAN;
    case ClaimVerdict::NotKnown:
      return protocol::ClaimReply::NOT_KNOWN;
    case ClaimVerdict::Mismatch:
      return protocol::ClaimReply::MISMATCH;
    case ClaimVerdict::Unavailable:
      return protocol::ClaimReply::UNAVAILABLE;
    case ClaimVerdict::Expired:
      return protocol::ClaimReply::EXPIRED;
  }
  return protocol::ClaimReply::UNAVAILABLE;
}

protocol::ClaimQueryReply::State ToWire(HolderState aState)
{
  switch (aState) {
    case HolderState::InProgress:
      return protocol::ClaimQueryReply::IN_PROGRESS;
    case HolderState::NeverDispatched:
      return protocol::ClaimQueryReply::NEVER_DISPATCHED;
    case HolderState::NotKnown:
      return protocol::ClaimQueryReply::NOT_KNOWN;
    case HolderState::Ran:
      return protocol::ClaimQueryReply::RAN;
  }
  return protocol::ClaimQueryReply::NOT_KNOWN;
}

} // namespace

protocol::Envelope ToWire(const idempotency::SendClaimRequest& aAction)
{
  protocol::Envelope envelope;
  auto& message = *envelope.mutable_claim_request();
  message.set_correlation(aAction.mAttempt.Count());
  message.set_request_hash(aAction.mRequestHash.Count());
  WriteKey(aAction.mKey, aAction.mAttempt, message);
  return envelope;
}

protocol::Envelope ToWire(const idempotency::SendClaimOutcome& aAction)
{
  protocol::Envelope envelope;
  auto& message = *envelope.mutable_claim_outcome();
  WriteKey(aAction.mKey, aAction.mAttempt, message);
  WriteOutcome(aAction.mOutcome, message);
  return envelope;
}

protocol::Envelope ToWire(const idempotency::SendClaimRelease& aAction)
{
  protocol::Envelope envelope;
  WriteKey(aAction.mKey, aAction.mAttempt, *envelope.mutable_claim_release());
  return envelope;
}

protocol::Envelope ToWire(const idempotency::SendClaimQueryAnswer& aAction)
{
  protocol::Envelope envelope;
  auto& message = *envelope.mutable_claim_query_reply();
  WriteKey(aAction.mKey, aAction.mAttempt, message);
  message.set_state(ToWire(aAction.mState));
  WriteOutcome(aAction.mOutcome, message);
  return envelope;
}

protocol::Envelope ToWire(const idempotency::SendClaimReply& aAction)
{
  protocol::Envelope envelope;
  auto& message = *envelope.mutable_claim_reply();
  message.set_correlation(aAction.mTo.mAttempt.Count());
  message.set_verdict(ToWire(aAction.mVerdict));
  WriteOutcome(aAction.mOutcome, message);
  return envelope;
}

protocol::Envelope ToWire(const idempotency::SendClaimQuery& aAction)
{
  protocol::Envelope envelope;
  auto& message = *envelope.mutable_claim_query();
  WriteKey(aAction.mKey, aAction.mTo.mAttempt, message);
  message.set_holder_incarnation(aAction.mTo.mIncarnation.Count());
  return envelope;
}

std::optional<ClaimVerdict> FromWire(protocol::ClaimReply::Verdict aVerdict)
{
  switch (aVerdict) {
    case protocol::ClaimReply::GRANTED:
      return ClaimVerdict::Granted;
    case protocol::ClaimReply::RAN:
      return ClaimVerdict::Ran;
    case protocol::ClaimReply::NOT_KNOWN:
      return ClaimVerdict::NotKnown;
    case protocol::ClaimReply::MISMATCH:
      return ClaimVerdict::Mismatch;
    case protocol::ClaimReply::UNAVAILABLE:
      return ClaimVerdict::Unavailable;
    case protocol::ClaimReply::EXPIRED:
      return ClaimVerdict::Expired;
    default:
      return std::nullopt;
  }
}

std::optional<HolderState> FromWire(protocol::ClaimQueryReply::State aState)
{
  switch (aState) {
    case protocol::ClaimQueryReply::IN_PROGRESS:
      return HolderState::InProgress;
    case protocol::ClaimQueryReply::NEVER_DISPATCHED:
      return HolderState::NeverDispatched;
    case protocol::ClaimQueryReply::NOT_KNOWN:
      return HolderState::NotKnown;
    case protocol::ClaimQueryReply::RAN:
      return HolderState::Ran;
    default:
      return std::nullopt;
  }
}

} // namespace auburnmux::daemon
