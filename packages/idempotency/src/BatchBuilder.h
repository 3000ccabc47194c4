#pragma once

#include <cstddef>
#include <unordered_set>
#include <utility>
#include <vector>

#include "idempotency/src/ClaimRecord.h"
#include "idempotency/src/SegmentCodec.h"

namespace auburnmux::idempotency {

/** Collects the records of one batch: bounded, and one for each key, as a
 * second record of a key is judged by the state that the first one leaves. */
class BatchBuilder
{
public:
  /** Adds \a aRecord if it fits; if not, it waits for the next batch. */
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
