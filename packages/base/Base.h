#pragma once

#include "base/src/StrongId.h"
#include "base/src/Units.h"

#include "base/src/Work.h"

#include "base/src/Time.h"

#include "base/src/Random.h"

#include "base/src/Hash.h"

#include "base/src/Findings.h"

#include "base/src/LogLine.h"
