#pragma once

#include "balancing/src/PeakEwma.h"
#include "balancing/src/PoolSettings.h"
#include "balancing/src/UpstreamSpec.h"
#include "balancing/src/UpstreamStatus.h"

#include <array>
#include <map>
#include <optional>

namespace auburnmux::balancing {

/** Statistics of one upstream: latency, failures, requests in flight, ejection
 * and slow start. */
class UpstreamState
{
public:
  UpstreamState(UpstreamSpec aSpec, const PoolSettings& aSettings);

  const base::UpstreamId& Id() const { return mSpec.mId; }
  void Update(const UpstreamSpec& aSpec);
  void SetLimit(base::SlotCount aLimit) { mLimit = aLimit; }

  void OnStart(base::TimePoint aNow, base::AttemptId aAttempt,
               base::WorkClass aClass);
  void OnFirstByte(base::AttemptId aAttempt);
  /** Removes an attempt from those in flight. \returns its work class, or
   * nothing if the attempt is unknown. */
  std::optional<base::WorkClass> Finish(base::AttemptId aAttempt);
  void OnSuccess(base::TimePoint aNow, base::WorkClass aClass,
                 base::Duration aLatency, base::Duration aTypicalLatency);
  void OnFailure(base::TimePoint aNow, base::FailureKind aKind);
  void OnLoadReport(base::TimePoint aNow, base::Duration aAge, double aLoad);
  void OnLeavingSignal(base::TimePoint aNow);
  void OnReadySignal(base::TimePoint aNow);

  /** Limits the usable slots to a fraction that grows with time. */
  void BeginSlowStart(base::TimePoint aNow) { mSlowStartBegin = aNow; }
  void Eject(base::TimePoint aNow, base::Random& aRandom);
  /** Ends an ejection, resets latency and failures, and begins slow start. */
  void Readmit(base::TimePoint aNow);
  /** Doubles the probe delay up to its maximum and schedules the next probe. */
  void ProbeFailed(base::TimePoint aNow, base::Random& aRandom);

  bool IsLeaving() const { return mSpec.mLeaving || mAnnouncedLeaving; }
  bool IsEjected() const { return mEjected; }
  /** \returns whether the consecutive failures have reached the number that
   * ejects an upstream. */
  bool HasTooManyFailures() const
  {
    return mConsecutiveFailures >= mSettings.mEjectFailures;
  }
  bool NeedsProbe(base::TimePoint aNow) const;
  bool HasFreeSlot(base::TimePoint aNow) const;
  HealthState Health() const { return mHealth; }
  void SetHealth(HealthState aHealth) { mHealth = aHealth; }
  base::SlotCount InFlight() const;
  base::SlotCount InFlight(base::WorkClass aClass) const;
  /** \returns the slots that this host may use now, including those in use. */
  base::SlotCount UsableSlots(base::TimePoint aNow) const;
  const PeakEwma& Latency(base::WorkClass aClass) const;
  void UpdateSlowSamples(bool aSlow)
  {
    mConsecutiveSlowSamples = aSlow ? mConsecutiveSlowSamples + 1 : 0;
  }
  /** \returns the number of slow samples since the last one that wasn't. */
  std::uint32_t ConsecutiveSlowSamples() const
  {
    return mConsecutiveSlowSamples;
  }
  /** \returns whether the upstream has too many failures and is dead or
   * unreachable. */
  bool AcceptsNoConnections() const;
  /** \returns the expected cost of one more request, lower is better: the
   * latency summed over it and the requests in flight, raised by failures, by
   * reported load and during slow start. */
  double Cost(base::TimePoint aNow, base::WorkClass aClass,
              base::Duration aTypicalLatency) const;

private:
  struct Running
  {
    base::TimePoint mStart;
    base::WorkClass mClass = base::WorkClass::Short;
    bool mFirstByte = false;
  };

  /** \returns the cost factor of the last load report, 1 for none. */
  double LoadReportFactor(base::TimePoint aNow) const;
  /** \returns the usable fraction of slots; 1 after slow start. */
  double SlowStartFraction(base::TimePoint aNow) const;
  void ScheduleProbe(base::TimePoint aNow, base::Random& aRandom);

  UpstreamSpec mSpec;
  PoolSettings mSettings;
  std::optional<base::SlotCount> mLimit;
  std::map<base::AttemptId, Running> mRunning;
  std::array<PeakEwma, base::kWorkClassCount> mLatency;
  std::uint32_t mConsecutiveFailures = 0;
  std::uint32_t mConsecutiveSlowSamples = 0;
  HealthState mHealth = HealthState::Working;
  bool mEjected = false;
  std::optional<base::TimePoint> mSlowStartBegin;
  base::TimePoint mNextProbe{};
  base::Duration mProbeDelay{};
  bool mAnnouncedLeaving = false;
  base::TimePoint mLeavingSince{};
  double mLoad = 0;
  base::TimePoint mLoadTime{};
};

} // namespace auburnmux::balancing
