#pragma once

#include "customers/src/Customer.h"

#include "customers/src/CustomerTable.h"
