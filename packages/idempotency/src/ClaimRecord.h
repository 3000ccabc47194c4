#pragma once

#include <variant>
#include <vector>

#include "idempotency/src/ClaimHolder.h"
#include "idempotency/src/IdempotencyKey.h"
#include "idempotency/src/Outcome.h"
#include "idempotency/src/RequestHash.h"

namespace auburnmux::idempotency {

/** The holder holds the key and may dispatch the request once. */
struct ClaimedRecord
{
  IdempotencyKey mKey;
  ClaimHolder mHolder;
  RequestHash mRequestHash;
};

/** The request ran at the holder's upstream. */
struct RanRecord
{
  IdempotencyKey mKey;
  ClaimHolder mHolder;
  Outcome mOutcome;
};

/** The holder never dispatched and never will: the key is free again. */
struct ReleasedRecord
{
  IdempotencyKey mKey;
  ClaimHolder mHolder;
};

/** One change to the state of a key. */
using ClaimRecord = std::variant<ClaimedRecord, RanRecord, ReleasedRecord>;

inline const IdempotencyKey& KeyOf(const ClaimRecord& aRecord)
{
  return std::visit(
    [](const auto& aIt) -> const IdempotencyKey& { return aIt.mKey; }, aRecord);
}

inline const ClaimHolder& HolderOf(const ClaimRecord& aRecord)
{
  return std::visit(
    [](const auto& aIt) -> const ClaimHolder& { return aIt.mHolder; }, aRecord);
}

/** Random id of a batch, by which a writer recognises its own batch. */
using BatchId = base::Quantity<struct BatchIdTag>;

/** The records added by one conditional write. */
struct ClaimBatch
{
  BatchId mId;
  std::vector<ClaimRecord> mRecords;
};

/** The content of one segment, which is an object in the object store. */
struct ClaimSegment
{
  std::vector<ClaimBatch> mBatches;
  /** A sealed segment is never written again; later records go into the segment
   * with the next number. */
  bool mIsSealed = false;
};

} // namespace auburnmux::idempotency
