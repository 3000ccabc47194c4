#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "idempotency/Idempotency.h"

namespace auburnmux::idempotency::test {

/** An in-memory object store for the segments of one partition, without
 * delays. */
class FakePlatform
{
public:
  /** Makes writes ignore their condition, to test that the properties detect
   * this fault. */
  bool mIgnoresConditions = false;

  PlatformResult Apply(const ListSegments& aCall) const
  {
    ListResult result{ aCall.mCall, CallStatus::Done, {} };
    for (const auto& it : mObjects) {
      result.mSegments.push_back(it.first);
    }
    return result;
  }

  PlatformResult Apply(const ReadSegment& aCall) const
  {
    const auto it = mObjects.find(aCall.mSegment);
    if (it == mObjects.end()) {
      return ReadResult{ aCall.mCall, CallStatus::NotFound, {}, {} };
    }
    return ReadResult{ aCall.mCall, CallStatus::Done, it->second.mVersion,
                       it->second.mBytes };
  }

  PlatformResult Apply(const WriteSegment& aCall)
  {
    const auto it = mObjects.find(aCall.mSegment);
    const auto version = it == mObjects.end() ? kAbsent : it->second.mVersion;
    if (version != aCall.mExpected && !mIgnoresConditions) {
      const bool isGone = version == kAbsent;
      return WriteResult{ aCall.mCall,
                          isGone ? CallStatus::NotFound : CallStatus::Conflict,
                          {} };
    }
    // The versions of a deleted segment are never reused.
    mVersion += base::ObjectVersion(1);
    mObjects[aCall.mSegment] = { mVersion, aCall.mBytes };
    return WriteResult{ aCall.mCall, CallStatus::Done, mVersion };
  }

  PlatformResult Apply(const DeleteSegment& aCall)
  {
    const bool isDone = mObjects.erase(aCall.mSegment) > 0;
    return DeleteResult{ aCall.mCall,
                         isDone ? CallStatus::Done : CallStatus::NotFound };
  }

  /** \returns an index with all records of the current chain applied. */
  ClaimIndex Replay() const
  {
    ClaimIndex index(base::ByteCount(1 << 20));
    for (const auto& object : mObjects) {
      const auto segment = DecodeSegment(object.second.mBytes);
      for (const ClaimBatch& batch : segment->mBatches) {
        for (const ClaimRecord& it : batch.mRecords) {
          index.Apply(it, base::WallTime{});
        }
      }
    }
    return index;
  }

  std::size_t Count() const { return mObjects.size(); }

private:
  struct Object
  {
    base::ObjectVersion mVersion;
    std::string mBytes;
  };

  std::map<SegmentNumber, Object> mObjects;
  base::ObjectVersion mVersion;
};

} // namespace auburnmux::idempotency::test
