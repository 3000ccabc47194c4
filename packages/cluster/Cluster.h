#pragma once

#include "cluster/src/HeartbeatCodec.h"

#include "cluster/src/CrashReportCodec.h"

#include "cluster/src/QuotaCodec.h"

#include "cluster/src/JoinedHosts.h"

#include "cluster/src/StateLag.h"

#include "cluster/src/ClusterNode.h"
