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

/** A batch on its way into the tail. */
struct StagedWrite
{
  CallNumber mCall;
  ClaimBatch mBatch;
  /** The whole segment after the write. */
  std::string mBytes;
  bool mIsSealing = false;
  /** kAbsent until the write is known to be done. */
  base::ObjectVersion mVersion;
};

/** The segment that is appended to, as it is known; absent until created. */
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
  /** \returns the newest time of the keys that were noted. */
  base::WallTime NewestKey() const { return mNewestKey; }

  /** \returns the write that appends \a aBatch. */
  StagedWrite Stage(ClaimBatch aBatch, base::ByteCount aSealAt) const
  {
    StagedWrite staged;
    staged.mBytes = mBytes + EncodeAppend(aBatch, false);
    // A creation never seals, so that a segment below the last one that isn't
    // sealed is known to be the work of a delayed creation.
    staged.mIsSealing =
      Exists() && base::ByteCount(staged.mBytes.size()) >= aSealAt;
    if (staged.mIsSealing) {
      staged.mBytes = mBytes + EncodeAppend(aBatch, true);
    }
    staged.mBatch = std::move(aBatch);
    return staged;
  }

  /** \returns whether a writer that knew this tail may have written
   * \a aBytes: segments only grow. */
  bool IsPrefixOf(const std::string& aBytes) const
  {
    return aBytes.compare(0, mBytes.size(), mBytes) == 0;
  }

  void NoteKey(base::WallTime aTime)
  {
    mNewestKey = std::max(mNewestKey, aTime);
  }

  /** Sets the segment's content as read or written. */
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
