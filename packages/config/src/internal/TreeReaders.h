#pragma once

#include "config/src/JsonValue.h"
#include "config/src/ObjectReader.h"
#include "config/src/ServiceFile.h"
#include "config/src/TopologyFile.h"

namespace auburnmux::config::internal {

/** Reads a service from a tree, of a file or of a snapshot. */
ServiceFile ReadService(const JsonValue& aRoot, const JsonSource& aSource);

/** Reads a topology from a tree, of a file or of a snapshot. */
TopologyFile ReadTopology(const JsonValue& aRoot, const JsonSource& aSource);

} // namespace auburnmux::config::internal
