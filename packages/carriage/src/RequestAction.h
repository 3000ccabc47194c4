#pragma once

#include "base/Base.h"

#include <optional>
#include <variant>
#include <vector>

namespace auburnmux::carriage {

/** Why a request got no response from an upstream. */
enum class Reason
{
  NoConfiguration,
  /** No route matches, but the configuration may be outdated. */
  OutdatedConfiguration,
  /** No customer has the request's key. */
  UnknownKey,
  /** The key is unknown, but the configuration may be outdated. */
  UnconfirmedKey,
  /** The route and the customer have no allowed region in common. */
  NoCommonRegion,
  /** The customer's quota is used up. */
  OverQuota,
  /** No other host told in time whether the customer's quota is used up. */
  QuotaUnknown,
  NoCapacity,
  NoUpstream,
  NoBudget,
  /** The request's body is large, and this host holds as much as it may. */
  MemoryLimit,
  /** The request is blocked because it crashed upstreams before. */
  Quarantined,
  Stopping,
  /** The deadline passed before the request was sent to any upstream. */
  DeadlineExceededUnsent,
  /** The deadline passed after the request was sent to an upstream. */
  DeadlineExceeded,
  /** The connection to the upstream failed or its response was malformed. */
  Broken,
  /** The upstream reported that it did not run the request. */
  Rejected
};

/** \returns the name of the reason in log events, e.g. "no_room". */
const char* ReasonName(Reason aReason);

/**
 * Select an upstream, then call OnUpstreamSelected() or OnSelectionFailed().
 */
struct SelectUpstream
{
  /** Whether sending the request counts as a retry against the shared budget.
   */
  bool mUsesRetryBudget = false;
};

/** Send the received response to the caller. */
struct Relay
{};

/** Tell the caller that the request did not run and will not run. */
struct Refuse
{
  Reason mReason = Reason::NoCapacity;
  /** Wait that is proposed to the caller before its next attempt. */
  base::Duration mRetryAfter{};
};

/** Tell the caller that there is no response; the request may have run. */
struct Fail
{
  Reason mReason = Reason::Broken;
};

/** Cancel the attempt in progress. */
struct CancelAttempt
{};

using RequestAction =
  std::variant<SelectUpstream, Relay, Refuse, Fail, CancelAttempt>;
using RequestActions = std::vector<RequestAction>;

} // namespace auburnmux::carriage
