#pragma once

#include "idempotency/src/IdempotencyKey.h"
#include "idempotency/src/Partition.h"
#include "idempotency/src/RequestHash.h"
#include "idempotency/src/Retention.h"

#include "idempotency/src/ClaimHolder.h"
#include "idempotency/src/ClaimRecord.h"
#include "idempotency/src/Outcome.h"
#include "idempotency/src/SegmentCodec.h"

#include "idempotency/src/ClaimIndex.h"
#include "idempotency/src/ClaimLog.h"
#include "idempotency/src/ClaimLogAction.h"
#include "idempotency/src/PlatformCall.h"

#include "idempotency/src/ClaimClient.h"
#include "idempotency/src/ClaimClientAction.h"
