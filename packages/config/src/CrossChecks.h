#pragma once

#include "config/src/ParseReport.h"
#include "config/src/Snapshot.h"

namespace auburnmux::config {

/**
 * Checks the topology and all services together: names and addresses that are
 * used twice, references to what doesn't exist, overlapping routes, and caps
 * that the links or the hosts can't honour.
 */
void CheckTogether(const Snapshot& aSnapshot, ParseReport& aReport);

} // namespace auburnmux::config
