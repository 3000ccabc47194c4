#pragma once

#include "protocol/generated/claims.pb.h"
#include "protocol/generated/peer.pb.h"

#include "protocol/src/EnvelopeGuard.h"
