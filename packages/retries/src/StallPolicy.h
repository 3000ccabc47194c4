#pragma once

#include "base/Base.h"

#include <variant>

namespace auburnmux::retries {

/** Observed activity of one connection to an upstream. */
struct ConnectionActivity
{
  bool mInFlight = false;
  /** Last byte in either direction, or the start of the request. */
  base::TimePoint mLastProgress;
  /** Last time that a new connection to the upstream was established. */
  base::TimePoint mLastConnect;
  /** Last time that a new connection to the upstream failed. */
  base::TimePoint mLastConnectFailure;
};

/** Keep the connection and check again at the given time. */
struct KeepConnection
{
  base::TimePoint mCheckAt;
};

/** Close the connection and treat its request as FailureKind::Stalled. */
struct RetireConnection
{
  /** New connections fail too: the upstream itself is unreachable. */
  bool mUpstreamUnreachable = false;
};

using StallDecision = std::variant<KeepConnection, RetireConnection>;

/** Decides when a connection without progress is closed. */
class StallPolicy
{
public:
  explicit StallPolicy(base::Duration aTimeout);

  StallDecision Decide(base::TimePoint aNow,
                       const ConnectionActivity& aActivity) const;

private:
  base::Duration mTimeout;
};

} // namespace auburnmux::retries
