#pragma once

#include "membership/src/Host.h"

#include "membership/src/Actions.h"

#include "membership/src/Settings.h"

#include "membership/src/Membership.h"

#include "membership/src/ActiveHostCounter.h"
