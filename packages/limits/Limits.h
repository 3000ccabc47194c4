#pragma once

#include "limits/src/SlotShare.h"

#include "limits/src/ConcurrencyLimit.h"

#include "limits/src/ClassLimits.h"

#include "limits/src/StragglerBound.h"

#include "limits/src/QueueEntry.h"

#include "limits/src/DeadlineQueue.h"

#include "limits/src/Admission.h"
