#pragma once

#include "customers/src/Customer.h"

#include "customers/src/CustomerTable.h"

#include "customers/src/Identification.h"

#include "customers/src/CommonRegions.h"
