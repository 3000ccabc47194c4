#include "protocol/src/EnvelopeGuard.h"

namespace auburnmux::protocol {

namespace {

// Twice the fleet that the design aims at, to leave room for replacements.
constexpr std::size_t kMaxSenders = 4096;
constexpr std::size_t kMaxNameBytes = 128;

// Bounds per kind of message; only a snapshot may be large.
constexpr std::size_t kMaxSmallBytes = 16384;

} // namespace

const char* RejectionName(Rejection aRejection)
{
  switch (aRejection) {
    case Rejection::None:
      return "none";
    case Rejection::TooLarge:
      return "too_large";
    case Rejection::Unreadable:
      return "unreadable";
    case Rejection::OtherVersion:
      return "other_version";
    case Rejection::NoSender:
      return "no_sender";
    case Rejection::Replayed:
      return "replayed";
    case Rejection::TooManySenders:
      return "too_many_senders";
  }
  return "unknown";
}

Rejection EnvelopeGuard::Accept(std::string_view aBytes, Envelope& aEnvelope)
{
  if (aBytes.size() > kMaxMessageBytes.Count()) {
    return Rejection::TooLarge;
  }
  if (!aEnvelope.ParseFromArray(aBytes.data(),
                                static_cast<int>(aBytes.size()))) {
    return Rejection::Unreadable;
  }
  if (aEnvelope.protocol_version() != kProtocolVersion) {
    return Rejection::OtherVersion;
  }
  const bool mayBeLarge = aEnvelope.has_snapshot_reply();
  if (!mayBeLarge && aBytes.size() > kMaxSmallBytes) {
    return Rejection::TooLarge;
  }
  if (aEnvelope.sender().empty() || aEnvelope.sender().size() > kMaxNameBytes) {
    return Rejection::NoSender;
  }
  return CheckSequence(aEnvelope);
}

Rejection EnvelopeGuard::CheckSequence(const Envelope& aEnvelope)
{
  const auto it = mSenders.find(aEnvelope.sender());
  if (it == mSenders.end()) {
    if (mSenders.size() >= kMaxSenders) {
      return Rejection::TooManySenders;
    }
    mSenders[aEnvelope.sender()] = { aEnvelope.sender_incarnation(),
                                     aEnvelope.sequence() };
    return Rejection::None;
  }
  LastSeen& last = it->second;
  const bool isOld = aEnvelope.sender_incarnation() < last.mIncarnation ||
                     (aEnvelope.sender_incarnation() == last.mIncarnation &&
                      aEnvelope.sequence() <= last.mSequence);
  if (isOld) {
    return Rejection::Replayed;
  }
  last = { aEnvelope.sender_incarnation(), aEnvelope.sequence() };
  return Rejection::None;
}

} // namespace auburnmux::protocol
