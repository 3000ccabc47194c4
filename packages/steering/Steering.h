#pragma once

#include "steering/src/Grant.h"

#include "steering/src/GrantIssuer.h"

#include "steering/src/GrantBook.h"

#include "steering/src/SpillPolicy.h"
