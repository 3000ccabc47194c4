#pragma once

#include "steering/src/Grant.h"

#include "steering/src/GrantIssuer.h"

#include "steering/src/GrantHolder.h"

#include "steering/src/SpillPolicy.h"
