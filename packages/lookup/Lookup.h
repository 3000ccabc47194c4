#pragma once

#include "lookup/src/BlockTypes.h"

#include "lookup/src/BlockTable.h"

#include "lookup/src/RankedHost.h"

#include "lookup/src/HostRanking.h"
