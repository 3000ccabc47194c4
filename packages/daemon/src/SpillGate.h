#pragma once

#include "base/Base.h"
#include "http/Http.h"

#include <optional>

namespace auburnmux::daemon {

/** One use of a grant of another host. */
struct SpillTicket
{
  base::HostId mHost;
  http::Endpoint mEndpoint;
  std::uint64_t mToken = 0;
};

/** Where requests go that this data centre can't serve in time. */
class SpillGate
{
public:
  virtual ~SpillGate() = default;
  /** Takes one use of a live grant, and asks for grants when there is none. */
  virtual std::optional<SpillTicket> Take(const base::ServiceId& aService) = 0;
  /** The request of a ticket ended. */
  virtual void Return(const base::ServiceId& aService,
                      const SpillTicket& aTicket) = 0;
};

} // namespace auburnmux::daemon
