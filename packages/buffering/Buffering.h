#pragma once

#include "buffering/src/HeldBytes.h"

#include "buffering/src/HoldPolicy.h"

#include "buffering/src/ReadProgress.h"
