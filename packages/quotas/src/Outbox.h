#pragma once

#include "quotas/src/Messages.h"

#include <utility>
#include <vector>

namespace auburnmux::quotas {

/** Grants that are to be sent, each with its receiver. */
using Outbox = std::vector<std::pair<base::HostId, Grant>>;

} // namespace auburnmux::quotas
