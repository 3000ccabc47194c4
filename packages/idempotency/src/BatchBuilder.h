#pragma once

#include <cstddef>
#include <unordered_set>
#include <utility>
#include <vector>

#include "idempotency/src/ClaimRecord.h"
#include "idempotency/src/SegmentCodec.h"

namespace auburnmux::idempotency {

/** Collects the records of one batch. A batch is bounded in size and has at
 * most one record per key, because whether a second record of a key applies
 * depends on the state after the first. */
class BatchBuilder
{
public:
  /** Adds \a aRecord if it fits and the batch has no record of its key;
   * otherwise it is ignored and must go into a later batch. */
  void Add(ClaimRecord aRecord)
  {
    const std::size_t size = EncodedSize(aRecord);
    if (mRecords.size() < kMaxBatchRecords && mBytes + size <= kMaxBatchBytes &&
        mKeys.insert(KeyOf(aRecord)).second) {
      mBytes += size;
      mRecords.push_back(std::move(aRecord));
    }
  }

  std::vector<ClaimRecord> Take() { return std::move(mRecords); }

private:
  std::vector<ClaimRecord> mRecords;
  std::unordered_set<IdempotencyKey> mKeys;
  std::size_t mBytes = 0;
};

} // namespace auburnmux::idempotency
