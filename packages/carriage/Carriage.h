#pragma once

#include "carriage/src/RequestAction.h"

#include "carriage/src/ResponseEvidence.h"

#include "carriage/src/RequestBody.h"

#include "carriage/src/RequestStateMachine.h"

#include "carriage/src/WindowedRetryBudget.h"
