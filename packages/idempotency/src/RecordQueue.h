#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "idempotency/src/ClaimRecord.h"
#include "idempotency/src/SegmentChain.h"

namespace auburnmux::idempotency {

/** An outcome or a release that isn't durable yet. */
struct WaitingRecord
{
  ClaimRecord mRecord;
  /** The chain's LastStarted() when the record arrived. */
  OperationNumber mOperationAtArrival;
  /** The index shows that its attempt holds the key and has no outcome, so the
   * record may be appended. */
  bool mIsAppendable = false;
};

/** Outcomes and releases that wait to be appended, in order of arrival. */
class RecordQueue
{
public:
  static constexpr std::size_t kMaxRecords = 1024;

  /** Adds a record. It is dropped if it is already queued or the queue is full;
   * its sender resends it or answers a query later. */
  void Add(WaitingRecord aRecord)
  {
    const bool isKnown = std::any_of(
      mRecords.begin(), mRecords.end(), [&aRecord](const WaitingRecord& aIt) {
        return aIt.mRecord.index() == aRecord.mRecord.index() &&
               HolderOf(aIt.mRecord) == HolderOf(aRecord.mRecord);
      });
    if (!isKnown && mRecords.size() < kMaxRecords) {
      mRecords.push_back(std::move(aRecord));
    }
  }

  /** Removes the records for which \a aVisitor returns true. */
  template<typename Visitor>
  void RemoveIf(Visitor aVisitor)
  {
    std::vector<WaitingRecord> kept;
    for (WaitingRecord& it : mRecords) {
      if (!aVisitor(it)) {
        kept.push_back(std::move(it));
      }
    }
    mRecords = std::move(kept);
  }

  const std::vector<WaitingRecord>& Items() const { return mRecords; }

private:
  std::vector<WaitingRecord> mRecords;
};

} // namespace auburnmux::idempotency
