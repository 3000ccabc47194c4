#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/Base.h"

namespace auburnmux::idempotency {

/** Number of a segment in its partition's log; consecutive, starting at 0. */
using SegmentNumber = base::Quantity<struct SegmentNumberTag, std::uint32_t>;

/** Number of a call to the platform; its result carries the same number. */
using CallNumber = base::Quantity<struct CallNumberTag>;

/** Version that stands for a segment that doesn't exist. */
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
 * Writes a segment if its version is \a mExpected or, with kAbsent, if it
 * doesn't exist.
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
  /** The call failed or timed out. It may have taken effect or may do so
   * later. */
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
  /** The segment's new version, if the write is done. */
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
