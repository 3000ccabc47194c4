#pragma once

#include "protocol/Protocol.h"
#include "retries/Retries.h"

namespace auburnmux::cluster {

/** \returns the message that informs peers of a request that crashes upstreams
 * of \a aService. */
protocol::Envelope ToCrashReport(const base::ServiceId& aService,
                                 const retries::CrashRecord& aRecord);

/** \returns the content, or nothing if it names too many upstreams. */
std::optional<retries::CrashRecord> FromWire(
  const protocol::CrashReport& aMessage);

} // namespace auburnmux::cluster
