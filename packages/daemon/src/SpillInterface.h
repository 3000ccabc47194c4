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

/** How the use of a ticket ended. */
enum class TicketEnd
{
  Served,
  /** The receiving host did not admit the request. */
  Refused
};

/** Work that crosses between data centres, in both directions. */
class SpillInterface
{
public:
  virtual ~SpillInterface() = default;

  /** Takes one use of a live grant; notes the demand when there is none. */
  virtual std::optional<SpillTicket> TakeTicket(
    const base::ServiceId& aService) = 0;
  /** The request of a ticket ended. */
  virtual void ReturnTicket(const base::ServiceId& aService,
                            const SpillTicket& aTicket, TicketEnd aEnd) = 0;

  /** \returns whether a request that \a aSender forwarded may run here. */
  virtual bool Admit(const base::ServiceId& aService,
                     const base::HostId& aSender, std::uint64_t aToken) = 0;
  /**
   * \returns whether a request of a client of another region may run here; it
   * counts against the same cap as forwarded work.
   */
  virtual bool AdmitForeign(const base::ServiceId& aService,
                            const base::RegionId& aRegion) = 0;
  /** An admitted request ended. */
  virtual void OnAdmittedEnd(const base::ServiceId& aService,
                             const base::HostId& aSender) = 0;
};

/** \returns the sender under which work of a region's clients is counted. */
inline base::HostId ForeignSender(const base::RegionId& aRegion)
{
  return base::HostId("clients-of-" + aRegion.Text());
}

} // namespace auburnmux::daemon
