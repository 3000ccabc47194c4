#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/Base.h"

namespace auburnmux::idempotency {

/** Number of a segment in its partition's log, from 0 without gaps. */
using SegmentNumber = base::Quantity<struct SegmentNumberTag, std::uint32_t>;

/** Number of a call to the platform; its result repeats it. */
using CallNumber = base::Quantity<struct CallNumberTag>;

/** Version of a segment that must not exist. */
constexpr base::ObjectVersion kAbsent{ 0 };

/** Lists the numbers of the partition's segments. */
struct ListSegments
{
  CallNumber mCall;
};

struct ReadSegment
{
  CallNumber mCall;
  SegmentNumber mSegment;
};

/**
 * Writes a segment on condition that its version is \a mExpected; with
 * kAbsent, that it doesn't exist.
 */
struct WriteSegment
{
  CallNumber mCall;
  SegmentNumber mSegment;
  base::ObjectVersion mExpected;
  std::string mBytes;
};

struct DeleteSegment
{
  CallNumber mCall;
  SegmentNumber mSegment;
};

/** How a call to the platform ended. */
enum class CallStatus
{
  Done,
  /** The condition of a write didn't hold. */
  Conflict,
  NotFound,
  /** Failed or timed out: it may have taken effect, or do so later. */
  Unknown,
};

struct ListResult
{
  CallNumber mCall;
  CallStatus mStatus = CallStatus::Unknown;
  std::vector<SegmentNumber> mSegments;
};

struct ReadResult
{
  CallNumber mCall;
  CallStatus mStatus = CallStatus::Unknown;
  base::ObjectVersion mVersion;
  std::string mBytes;
};

struct WriteResult
{
  CallNumber mCall;
  CallStatus mStatus = CallStatus::Unknown;
  /** Version after a write that is done. */
  base::ObjectVersion mVersion;
};

struct DeleteResult
{
  CallNumber mCall;
  CallStatus mStatus = CallStatus::Unknown;
};

/** The result of one call; exactly one is reported for each. */
using PlatformResult =
  std::variant<ListResult, ReadResult, WriteResult, DeleteResult>;

} // namespace auburnmux::idempotency
