#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include "base/Base.h"
#include "idempotency/src/ClaimRecord.h"
#include "idempotency/src/PlatformCall.h"
#include "idempotency/src/SegmentCodec.h"

namespace auburnmux::idempotency {

/** A batch whose write to the tail isn't known to be done. */
struct StagedWrite
{
  CallNumber mCall;
  ClaimBatch mBatch;
  /** The content of the whole segment after the write. */
  std::string mBytes;
  bool mIsSealing = false;
  /** kAbsent until the write is known to be done. */
  base::ObjectVersion mVersion;
};

/** The last known state of the segment that records are appended to. Its
 * version is kAbsent until the segment is known to exist. */
class SegmentTail
{
public:
  SegmentTail() = default;
  explicit SegmentTail(SegmentNumber aNumber)
    : mNumber(aNumber)
  {
  }

  SegmentNumber Number() const { return mNumber; }
  base::ObjectVersion Version() const { return mVersion; }
  bool Exists() const { return mVersion != kAbsent; }
  std::size_t BatchCount() const { return mBatches; }
  /** \returns the newest time passed to TrackNewestKey. */
  base::WallTime NewestKey() const { return mNewestKey; }

  /** \returns the write that appends \a aBatch, without a call number. It seals
   * the segment if the segment exists and reaches \a aSealAt. */
  StagedWrite Stage(ClaimBatch aBatch, base::ByteCount aSealAt) const
  {
    StagedWrite staged;
    staged.mBytes = mBytes + EncodeAppend(aBatch, false);
    // The write that creates a segment never seals it. Therefore an unsealed
    // segment below the last one must come from a delayed creation.
    staged.mIsSealing =
      Exists() && base::ByteCount(staged.mBytes.size()) >= aSealAt;
    if (staged.mIsSealing) {
      staged.mBytes = mBytes + EncodeAppend(aBatch, true);
    }
    staged.mBatch = std::move(aBatch);
    return staged;
  }

  /** \returns whether \a aBytes begin with this tail's content. A later state
   * of the same segment always does, as segments are only appended to. */
  bool IsPrefixOf(const std::string& aBytes) const
  {
    return aBytes.compare(0, mBytes.size(), mBytes) == 0;
  }

  void TrackNewestKey(base::WallTime aTime)
  {
    mNewestKey = std::max(mNewestKey, aTime);
  }

  /** Sets the segment's state after a read or a write. */
  void Set(base::ObjectVersion aVersion, std::string aBytes,
           std::size_t aBatches)
  {
    mVersion = aVersion;
    mBytes = std::move(aBytes);
    mBatches = aBatches;
  }

private:
  SegmentNumber mNumber;
  base::ObjectVersion mVersion;
  std::string mBytes;
  std::size_t mBatches = 0;
  base::WallTime mNewestKey{};
};

} // namespace auburnmux::idempotency
