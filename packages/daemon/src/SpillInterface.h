#pragma once

#include "base/Base.h"
#include "http/Http.h"

#include <optional>

namespace auburnmux::daemon {

/** Permission to forward one request under another host's grant. */
struct SpillTicket
{
  base::HostId mHost;
  http::Endpoint mEndpoint;
  std::uint64_t mToken = 0;
};

/** Result of a forwarded request. */
enum class TicketEnd
{
  Served,
  /** The receiving host did not admit the request. */
  Refused
};

/** Forwards requests to other data centres and admits requests from them. */
class SpillInterface
{
public:
  virtual ~SpillInterface() = default;

  /** Takes one ticket from a live grant. Without one, the request counts as
   * demand in the next grant requests. */
  virtual std::optional<SpillTicket> TakeTicket(
    const base::ServiceId& aService) = 0;
  /** Returns a ticket when its request ended. */
  virtual void ReturnTicket(const base::ServiceId& aService,
                            const SpillTicket& aTicket, TicketEnd aEnd) = 0;

  /** \returns whether this host admits a request that \a aSender forwarded. */
  virtual bool Admit(const base::ServiceId& aService,
                     const base::HostId& aSender, std::uint64_t aToken) = 0;
  /**
   * \returns whether this host admits a request of a client of another region.
   * It counts against the same cap as forwarded work.
   */
  virtual bool AdmitForeign(const base::ServiceId& aService,
                            const base::RegionId& aRegion) = 0;
  /** Releases the slot of an admitted request that ended. */
  virtual void OnAdmittedEnd(const base::ServiceId& aService,
                             const base::HostId& aSender) = 0;
};

/** \returns the pseudo host that is the sender of all requests of a region's
 * clients. */
inline base::HostId ForeignSender(const base::RegionId& aRegion)
{
  return base::HostId("clients-of-" + aRegion.Text());
}

} // namespace auburnmux::daemon
