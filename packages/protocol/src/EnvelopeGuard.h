#pragma once

#include "base/Base.h"
#include "protocol/generated/peer.pb.h"

#include <string_view>
#include <unordered_map>

namespace auburnmux::protocol {

/** Version of the messages between hosts that this build speaks. */
constexpr std::uint32_t kProtocolVersion = 1;

/** Largest message that any host sends: a snapshot and its envelope. */
constexpr base::ByteCount kMaxMessageBytes{ (std::uint64_t{ 1 } << 20U) +
                                            4096 };

/** Why a message was dropped. */
enum class Rejection
{
  None,
  TooLarge,
  Unreadable,
  OtherVersion,
  NoSender,
  Replayed,
  TooManySenders
};

/** \returns the name of \a aRejection for logs and metrics. */
const char* RejectionName(Rejection aRejection);

/**
 * Checks messages from peers before anything acts on them: size, version,
 * sender, and that a sender's sequence numbers only rise.
 */
class EnvelopeGuard
{
public:
  /** Parses \a aBytes into \a aEnvelope. \returns why it must be dropped. */
  Rejection Accept(std::string_view aBytes, Envelope& aEnvelope);

private:
  struct LastSeen
  {
    std::uint64_t mIncarnation = 0;
    std::uint64_t mSequence = 0;
  };

  Rejection CheckSequence(const Envelope& aEnvelope);

  std::unordered_map<std::string, LastSeen> mSenders;
};

} // namespace auburnmux::protocol
