#pragma once

#include "cluster/src/WireBeat.h"

#include "cluster/src/WireCrash.h"

#include "cluster/src/ClusterNode.h"
