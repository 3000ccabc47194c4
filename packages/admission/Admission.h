#pragma once

#include "admission/src/QueuedRequest.h"

#include "admission/src/FairOrder.h"

#include "admission/src/RankedRequests.h"

#include "admission/src/AdmissionQueue.h"

#include "admission/src/StopAdmission.h"
