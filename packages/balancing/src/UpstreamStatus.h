#pragma once

#include "base/Base.h"

#include <cstdint>

namespace auburnmux::balancing {

/** What the requests say about an upstream, from most to least likely to
 * answer the next one. */
enum class Condition : std::uint8_t
{
  Working,
  Slow,        /**< Answers, far later than the others. */
  Failing,     /**< Accepts work and fails it. */
  Unreachable, /**< Connection attempts time out. */
  Dead,        /**< Refuses new connections. */
};

/** Signals of one upstream at one time. */
struct UpstreamStatus
{
  base::UpstreamId mId;
  Condition mCondition = Condition::Working;
  bool mLeaving = false;
  bool mEjected = false;
  base::SlotCount mInFlight;
  /** Slots that this host may use now: share, limit and slow start. */
  base::SlotCount mAllowed;
  /** Peak EWMA of short work. */
  base::Duration mLatency{};
  double mCost = 0;
};

} // namespace auburnmux::balancing
