#pragma once

#include "balancing/src/PickRequest.h"
#include "balancing/src/PoolSettings.h"
#include "balancing/src/UpstreamSpec.h"

#include "balancing/src/RoundRobinPool.h"
#include "balancing/src/UpstreamPool.h"

#include "balancing/src/Pool.h"
