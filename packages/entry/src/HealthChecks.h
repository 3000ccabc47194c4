#pragma once

#include "entry/src/Services.h"

#include <optional>

namespace auburnmux::entry {

/** Asks paused upstreams whether they may be used again. */
class HealthChecks
{
public:
  explicit HealthChecks(Services& aServices);

  /** Sends the checks that are due. To be called several times a second. */
  void OnTick();

private:
  void Check(const base::UpstreamId& aUpstream);
  void OnChecked(const base::UpstreamId& aUpstream,
                 const std::optional<http::ResponseHead>& aHead);

  Services& mServices;
};

} // namespace auburnmux::entry
