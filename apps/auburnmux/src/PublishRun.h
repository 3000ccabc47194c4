#pragma once

#include "auburnmux/src/Session.h"
#include "config/Config.h"

#include <functional>
#include <string>

namespace auburnmux::tool {

/** Called once, before anything is written, with the pointer to replace. */
using BaseKnown = std::function<void(const config::Publication&)>;

/** Executes a publication's actions against the platform to its outcome. */
config::PublicationOutcome RunPublication(config::Publication& aPublication,
                                          Session& aSession,
                                          const BaseKnown& aBaseKnown);

} // namespace auburnmux::tool
