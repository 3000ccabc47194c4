#pragma once

#include "admission/src/WaitingRoom.h"
