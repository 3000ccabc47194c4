#pragma once

#include "base/Base.h"

#include <optional>
#include <variant>
#include <vector>

namespace auburnmux::carriage {

/** Why a request got no response of an upstream. */
enum class Reason
{
  NoConfiguration,
  NoRoom,
  NoUpstream,
  NoBudget,
  /** The request crashed upstreams before. */
  Quarantined,
  Stopping,
  /** The time ran out before the request was sent anywhere. */
  TimeUpUnsent,
  /** The time ran out while an upstream had the request. */
  TimeUp,
  /** The upstream's connection broke or its response was malformed. */
  Broken,
  /** The upstream said that it did not run the request. */
  Rejected
};

/** \returns the reason as it stands in logs, e.g. "no_room". */
const char* ReasonName(Reason aReason);

/** Find an upstream, then call OnPlaced() or OnNoPlace(). */
struct Seek
{
  /** Whether sending it counts as a repeat against the shared budget. */
  bool mIsRepeat = false;
};

/** Deliver the response that has arrived. */
struct Relay
{};

/** Say that the request did not run and never will. */
struct Refuse
{
  Reason mReason = Reason::NoRoom;
  /** When the caller may come back with a chance. */
  base::Duration mRetryAfter{};
};

/** Say that no response could be had; the request may have run. */
struct Fail
{
  Reason mReason = Reason::Broken;
};

/** Give the attempt up that is under way. */
struct CancelAttempt
{};

using LifeAction = std::variant<Seek, Relay, Refuse, Fail, CancelAttempt>;
using LifeActions = std::vector<LifeAction>;

} // namespace auburnmux::carriage
