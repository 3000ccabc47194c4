#pragma once

#include "carriage/src/LifeAction.h"

#include "carriage/src/RequestLife.h"

#include "carriage/src/WindowBudget.h"
