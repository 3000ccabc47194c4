#pragma once

#include "admission/src/AdmissionQueue.h"

#include "admission/src/StopAdmission.h"
