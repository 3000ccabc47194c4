#pragma once

#include "base/Base.h"

namespace auburnmux::admission {

/** How long a request may still take. */
struct RequestTime
{
  /** Time after which it is given up. */
  base::Duration mTimeLeft{};
  /** Mean work time of its kind. */
  base::Duration mExpected{};
};

/**
 * \returns whether a host that exits after \a aUntilExit may still accept the
 * request. It answers the load of a planned stop: callers send on connections
 * that they keep open until the process is gone, and a few requests take many
 * times as long as the mean. What the exit would cut off is refused before it
 * runs, so that another host can handle it.
 */
bool EndsBeforeExit(base::Duration aUntilExit, const RequestTime& aRequest);

} // namespace auburnmux::admission
