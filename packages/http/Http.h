#pragma once

#include "http/src/Loop.h"

#include "http/src/Headers.h"

#include "http/src/Message.h"

#include "http/src/Listener.h"

#include "http/src/Server.h"

#include "http/src/Client.h"

#include "http/src/Fetch.h"
