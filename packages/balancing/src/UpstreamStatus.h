#pragma once

#include "base/Base.h"

#include <cstdint>

namespace auburnmux::balancing {

/** Health of an upstream as seen from its requests, ordered from most to least
 * likely to answer the next one. */
enum class HealthState : std::uint8_t
{
  Working,
  Slow,        /**< Answers much later than the others. */
  Failing,     /**< Accepts requests, but fails them. */
  Unreachable, /**< Connection attempts time out. */
  Dead,        /**< Refuses new connections. */
};

/** Snapshot of the state of one upstream. */
struct UpstreamStatus
{
  base::UpstreamId mId;
  HealthState mHealth = HealthState::Working;
  bool mLeaving = false;
  bool mEjected = false;
  base::SlotCount mInFlight;
  /** Slots that this host may use now, after share, limit and slow start. */
  base::SlotCount mUsableSlots;
  /** Peak EWMA latency of short requests. */
  base::Duration mLatency{};
  double mCost = 0;
};

} // namespace auburnmux::balancing
