#pragma once

#include "base/Base.h"

namespace auburnmux::entry {

/** What a host does at which time of its planned stop. */
class StopPlan
{
public:
  /** \param aGrace time from the signal until the process is killed */
  explicit StopPlan(base::Duration aGrace)
    : mGrace(aGrace)
  {
  }

  /**
   * \returns whether new requests are refused and idle connections closed.
   * Clients have learned of other hosts by then, and more than half of the
   * grace is left for the requests that were taken last.
   */
  bool IsQuiet(base::Duration aElapsed) const;
  /** \returns whether the process ends. \param aIsWorkLeft whether requests
   * are still open */
  bool IsOver(base::Duration aElapsed, bool aIsWorkLeft) const;

private:
  base::Duration mGrace;
};

} // namespace auburnmux::entry
