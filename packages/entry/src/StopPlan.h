#pragma once

#include "base/Base.h"

namespace auburnmux::entry {

/** Schedule of a graceful shutdown. */
class StopPlan
{
public:
  /** \param aGrace time from the stop signal until the process is killed */
  explicit StopPlan(base::Duration aGrace)
    : mGrace(aGrace)
  {
  }

  /**
   * \returns whether new requests are refused and idle connections closed.
   * By then, clients have looked up other hosts, and more than half of the
   * grace period remains for the requests that were accepted last.
   */
  bool RefusesRequests(base::Duration aElapsed) const;
  /**
   * \returns the time from the stop signal until requests are ended for which
   * finished responses of their connection wait. By then, upstreams have had
   * most of the grace period to end their work.
   */
  base::Duration UnblockAfter() const;
  /** \returns the time from the stop signal until all open requests are ended,
   * so that their clients get a last response. */
  base::Duration EndRequestsAfter() const;
  /** \returns the time from the stop signal until the process exits, whatever
   * is still to be delivered. */
  base::Duration ExitAfter() const;
  /** \returns whether the process should exit.
   * \param aIsWorkLeft whether requests are open, or responses undelivered */
  bool ShouldExit(base::Duration aElapsed, bool aIsWorkLeft) const;

private:
  base::Duration mGrace;
};

} // namespace auburnmux::entry
