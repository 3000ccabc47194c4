#pragma once

#include "config/src/ParseReport.h"

#include "config/src/Endpoint.h"
#include "config/src/HostSettings.h"

#include "config/src/Route.h"
#include "config/src/ServiceFile.h"
#include "config/src/TopologyFile.h"
#include "config/src/Upstream.h"

#include "config/src/CrossChecks.h"
#include "config/src/Snapshot.h"
#include "config/src/SnapshotDiff.h"
#include "config/src/VersionTag.h"

#include "config/src/ConfigState.h"

#include "config/src/CurrentPointer.h"
#include "config/src/Publication.h"
