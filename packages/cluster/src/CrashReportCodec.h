#pragma once

#include "protocol/Protocol.h"
#include "retries/Retries.h"

namespace auburnmux::cluster {

/** \returns the message that informs peers of a request that crashes
 * upstreams. */
protocol::Envelope ToCrashReport(base::TimePoint aNow,
                                 const retries::CrashRecord& aRecord);

/** \returns the content, or nothing if it lists no or too many attempts. */
std::optional<retries::CrashRecord> FromWire(
  base::TimePoint aNow, const protocol::CrashReport& aMessage);

} // namespace auburnmux::cluster
