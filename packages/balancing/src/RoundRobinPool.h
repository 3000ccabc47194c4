#pragma once

#include "balancing/src/PickRequest.h"
#include "balancing/src/UpstreamPool.h"
#include "balancing/src/UpstreamSpec.h"

#include <unordered_map>
#include <vector>

namespace auburnmux::balancing {

/**
 * Round robin over the upstreams with a free slot, without outlier ejection.
 * Baseline for measurements.
 */
class RoundRobinPool
{
public:
  void Configure(base::TimePoint aNow, const std::vector<UpstreamSpec>& aSpecs);
  void SetLimit(const base::UpstreamId& aUpstream, base::SlotCount aLimit);
  PickResult Pick(base::TimePoint aNow, base::Random& aRandom,
                  const PickRequest& aRequest);
  void OnStart(base::TimePoint aNow, base::AttemptId aAttempt,
               const base::UpstreamId& aUpstream, base::WorkClass aClass);
  void OnFirstByte(base::TimePoint aNow, base::AttemptId aAttempt);
  void OnSuccess(base::TimePoint aNow, base::Random& aRandom,
                 base::AttemptId aAttempt, base::Duration aLatency);
  void OnFailure(base::TimePoint aNow, base::Random& aRandom,
                 base::AttemptId aAttempt, base::FailureKind aKind);
  void OnCancel(base::TimePoint aNow, base::Random& aRandom,
                base::AttemptId aAttempt);
  void OnLoadReport(base::TimePoint aNow, const base::UpstreamId& aUpstream,
                    base::Duration aAge, double aLoad);
  void OnLeavingSignal(base::TimePoint aNow, const base::UpstreamId& aUpstream);
  void OnReadySignal(base::TimePoint aNow, const base::UpstreamId& aUpstream);
  void OnQueueLength(base::TimePoint aNow, std::uint32_t aCount);
  std::vector<UpstreamStatus> Status(base::TimePoint aNow) const;
  base::SlotCount FreeSlots(base::TimePoint aNow) const;

private:
  struct Entry
  {
    bool IsLeaving() const { return mSpec.mLeaving || mAnnouncedLeaving; }

    UpstreamSpec mSpec;
    base::SlotCount mLimit;
    base::SlotCount mInFlight;
    bool mAnnouncedLeaving = false;
  };

  Entry* Find(const base::UpstreamId& aUpstream);
  void Release(base::AttemptId aAttempt);

  std::vector<Entry> mEntries;
  std::unordered_map<base::AttemptId, base::UpstreamId> mAttempts;
  std::size_t mNext = 0;
};

} // namespace auburnmux::balancing
