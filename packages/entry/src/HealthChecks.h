#pragma once

#include "entry/src/Services.h"

#include <optional>

namespace auburnmux::entry {

/** Sends health checks to paused upstreams, to use them again once healthy. */
class HealthChecks
{
public:
  explicit HealthChecks(Services& aServices);

  /** Sends the checks that are due; to be called several times a second. */
  void OnTick();

private:
  void Check(const base::UpstreamId& aUpstream);
  void OnChecked(const base::UpstreamId& aUpstream, base::TimePoint aSentAt,
                 const std::optional<http::ResponseHead>& aHead);

  Services& mServices;
};

} // namespace auburnmux::entry
