#pragma once

#include "admission/src/AdmissionQueue.h"
