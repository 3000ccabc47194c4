#pragma once

#include "balancing/src/PeakEwma.h"
#include "balancing/src/PoolSettings.h"
#include "balancing/src/UpstreamSpec.h"
#include "balancing/src/UpstreamStatus.h"

#include <array>
#include <map>
#include <optional>

namespace auburnmux::balancing {

/** Signals of one upstream and the decisions that concern it alone. */
class UpstreamState
{
public:
  UpstreamState(UpstreamSpec aSpec, const PoolSettings& aSettings);

  const base::UpstreamId& Id() const { return mSpec.mId; }
  void Update(const UpstreamSpec& aSpec);
  void SetLimit(base::SlotCount aLimit) { mLimit = aLimit; }

  void Start(base::TimePoint aNow, base::AttemptId aAttempt,
             base::WorkClass aClass);
  void FirstByte(base::AttemptId aAttempt);
  /** Ends an attempt. \returns its class; none when it is unknown. */
  std::optional<base::WorkClass> Finish(base::AttemptId aAttempt);
  void Success(base::TimePoint aNow, base::WorkClass aClass,
               base::Duration aLatency, base::Duration aTypical);
  void Failure(base::TimePoint aNow, base::FailureKind aKind);
  void Load(base::TimePoint aNow, base::Duration aAge, double aLoad);
  void Leave(base::TimePoint aNow);
  void Ready(base::TimePoint aNow);

  /** Starts slow start. */
  void Warm(base::TimePoint aNow) { mWarmFrom = aNow; }
  void Eject(base::TimePoint aNow, base::Random& aRandom);
  /** Ends an ejection and starts slow start. Signals start anew. */
  void Readmit(base::TimePoint aNow);
  /** Delays the next probe of an ejected upstream. */
  void ProbeFailed(base::TimePoint aNow, base::Random& aRandom);

  bool IsLeaving() const { return mSpec.mLeaving || mLeavingSign; }
  bool IsEjected() const { return mEjected; }
  /** \returns whether failures alone would eject it. */
  bool IsSuspect() const { return mFailures >= mSettings.mEjectFailures; }
  bool NeedsProbe(base::TimePoint aNow) const;
  bool HasFreeSlot(base::TimePoint aNow) const;
  Condition State() const { return mCondition; }
  void SetState(Condition aCondition) { mCondition = aCondition; }
  base::SlotCount InFlight() const;
  base::SlotCount InFlight(base::WorkClass aClass) const;
  base::SlotCount Allowed(base::TimePoint aNow) const;
  const PeakEwma& Latency(base::WorkClass aClass) const;
  void CountSlow(bool aSlow) { mSlowSamples = aSlow ? mSlowSamples + 1 : 0; }
  /** \returns the number of samples in a row that were slow. */
  std::uint32_t SlowSamples() const { return mSlowSamples; }
  /** \returns whether the upstream takes no connections, as far as known. */
  bool IsGone() const;
  /** \returns the expected cost of one more request; lower is better. */
  double Cost(base::TimePoint aNow, base::WorkClass aClass,
              base::Duration aTypical) const;

private:
  struct Running
  {
    base::TimePoint mStart;
    base::WorkClass mClass = base::WorkClass::Short;
    bool mFirstByte = false;
  };

  double ReportFactor(base::TimePoint aNow) const;
  double WarmFraction(base::TimePoint aNow) const;
  void ScheduleProbe(base::TimePoint aNow, base::Random& aRandom);

  UpstreamSpec mSpec;
  PoolSettings mSettings;
  std::optional<base::SlotCount> mLimit;
  std::map<base::AttemptId, Running> mRunning;
  std::array<PeakEwma, base::kWorkClassCount> mLatency;
  std::uint32_t mFailures = 0;
  std::uint32_t mSlowSamples = 0;
  Condition mCondition = Condition::Working;
  bool mEjected = false;
  std::optional<base::TimePoint> mWarmFrom;
  base::TimePoint mNextProbe{};
  base::Duration mProbeDelay{};
  bool mLeavingSign = false;
  base::TimePoint mLeavingSince{};
  double mLoad = 0;
  base::TimePoint mLoadTime{};
};

} // namespace auburnmux::balancing
