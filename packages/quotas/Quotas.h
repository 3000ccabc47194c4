#pragma once

#include "quotas/src/Messages.h"

#include "quotas/src/Settings.h"

#include "quotas/src/Fleet.h"

#include "quotas/src/Actions.h"

#include "quotas/src/QuotaControl.h"
