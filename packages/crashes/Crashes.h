#pragma once

#include "crashes/src/CrashWatch.h"
