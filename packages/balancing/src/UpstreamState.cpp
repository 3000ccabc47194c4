#include "balancing/src/UpstreamState.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::balancing {

using base::Duration;
using base::FailureKind;
using base::SlotCount;
using base::TimePoint;
using base::WorkClass;

namespace {

/** A request in flight counts as at most this multiple of the typical
 * latency, so that one straggler doesn't take its upstream's other slots out
 * of use. */
constexpr int kLongestAge = 8;
/** Added to the cost factor by each consecutive failure: failures are fast,
 * so an upstream that fails looks idle. */
constexpr double kFailureCost = 4;
/** Largest change of the cost by a load report. */
constexpr double kReportWeight = 0.25;
/** Age at which a load report has lost most of its weight. */
constexpr Duration kReportDecay = std::chrono::seconds(5);
/** Share of its slots with which a cold upstream starts. */
constexpr double kColdFraction = 0.1;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

UpstreamState::UpstreamState(UpstreamSpec aSpec, const PoolSettings& aSettings)
  : mSpec(std::move(aSpec))
  , mSettings(aSettings)
{
}

void UpstreamState::Update(const UpstreamSpec& aSpec)
{
  // A limit at the share follows the share.
  if (mLimit && *mLimit >= mSpec.mSlots) {
    mLimit.reset();
  }
  mSpec = aSpec;
}

void UpstreamState::Start(TimePoint aNow, base::AttemptId aAttempt,
                          WorkClass aClass)
{
  mRunning[aAttempt] = { aNow, aClass, false };
}

void UpstreamState::FirstByte(base::AttemptId aAttempt)
{
  const auto it = mRunning.find(aAttempt);
  if (it != mRunning.end()) {
    it->second.mFirstByte = true;
  }
}

std::optional<WorkClass> UpstreamState::Finish(base::AttemptId aAttempt)
{
  const auto it = mRunning.find(aAttempt);
  if (it == mRunning.end()) {
    return std::nullopt;
  }
  const WorkClass finished = it->second.mClass;
  mRunning.erase(it);
  return finished;
}

void UpstreamState::Success(TimePoint aNow, WorkClass aClass, Duration aLatency,
                            Duration aTypical)
{
  mFailures = 0;
  if (!mEjected) {
    mCondition = Condition::Working;
  }
  mLatency[base::ClassIndex(aClass)].Add(aNow, aLatency, aTypical,
                                         mSettings.mLatencyDecay);
}

void UpstreamState::Failure(TimePoint aNow, FailureKind aKind)
{
  switch (aKind) {
    case FailureKind::Refused:
      mCondition = Condition::Dead;
      break;
    case FailureKind::ConnectTimeout:
      mCondition = Condition::Unreachable;
      break;
    case FailureKind::Reset:
    case FailureKind::ServerError:
      mCondition = Condition::Failing;
      break;
    case FailureKind::NotStarted:
      Load(aNow, Duration::zero(), 1);
      return;
    case FailureKind::Stalled:
      // A connection may go silent while the upstream works.
      return;
  }
  ++mFailures;
}

void UpstreamState::Load(TimePoint aNow, Duration aAge, double aLoad)
{
  const TimePoint time = aNow - std::max(aAge, Duration::zero());
  if (time >= mLoadTime) {
    mLoad = aLoad >= 0 ? std::min(aLoad, 1.0) : 0;
    mLoadTime = time;
  }
}

void UpstreamState::Leave(TimePoint aNow)
{
  mLeavingSign = true;
  mLeavingSince = aNow;
}

void UpstreamState::Ready(TimePoint aNow)
{
  if (mLeavingSign && aNow - mLeavingSince >= mSettings.mReturnDelay) {
    mLeavingSign = false;
    Readmit(aNow);
  }
}

void UpstreamState::Eject(TimePoint aNow, base::Random& aRandom)
{
  mEjected = true;
  mProbeDelay = mSettings.mFirstProbe;
  ScheduleProbe(aNow, aRandom);
}

void UpstreamState::Readmit(TimePoint aNow)
{
  mEjected = false;
  mFailures = 0;
  mSlowSamples = 0;
  mCondition = Condition::Working;
  for (PeakEwma& it : mLatency) {
    it.Reset();
  }
  Warm(aNow);
}

void UpstreamState::ProbeFailed(TimePoint aNow, base::Random& aRandom)
{
  mProbeDelay = std::min(2 * mProbeDelay, mSettings.mLongestProbe);
  ScheduleProbe(aNow, aRandom);
}

// Full delay plus up to a quarter, so that hosts don't probe together.
void UpstreamState::ScheduleProbe(TimePoint aNow, base::Random& aRandom)
{
  const auto spread = static_cast<std::uint64_t>(mProbeDelay.count()) / 4 + 1;
  const auto extra = static_cast<Duration::rep>(aRandom.Below(spread));
  mNextProbe = aNow + mProbeDelay + Duration(extra);
}

bool UpstreamState::NeedsProbe(TimePoint aNow) const
{
  return mEjected && !IsLeaving() && mRunning.empty() && aNow >= mNextProbe &&
         Allowed(aNow).Count() > 0;
}

bool UpstreamState::IsGone() const
{
  return IsSuspect() && (mCondition == Condition::Dead ||
                         mCondition == Condition::Unreachable);
}

bool UpstreamState::HasFreeSlot(TimePoint aNow) const
{
  return InFlight() < Allowed(aNow) && (!IsGone() || mRunning.empty());
}

SlotCount UpstreamState::InFlight() const
{
  return SlotCount(static_cast<std::uint32_t>(mRunning.size()));
}

SlotCount UpstreamState::InFlight(WorkClass aClass) const
{
  const auto count =
    std::count_if(mRunning.begin(), mRunning.end(),
                  [&](const auto& aIt) { return aIt.second.mClass == aClass; });
  return SlotCount(static_cast<std::uint32_t>(count));
}

SlotCount UpstreamState::Allowed(TimePoint aNow) const
{
  const SlotCount limit = std::min(mSpec.mSlots, mLimit.value_or(mSpec.mSlots));
  const std::uint32_t bound =
    std::min(limit.Count(), mSpec.mConnections.Count());
  const auto warm =
    static_cast<std::uint32_t>(std::ceil(bound * WarmFraction(aNow)));
  return SlotCount(std::min(bound, warm));
}

double UpstreamState::WarmFraction(TimePoint aNow) const
{
  if (!mWarmFrom || aNow - *mWarmFrom >= mSettings.mSlowStart) {
    return 1;
  }
  const double part =
    Seconds(aNow - *mWarmFrom) / Seconds(mSettings.mSlowStart);
  return kColdFraction + (1 - kColdFraction) * std::max(part, 0.0);
}

const PeakEwma& UpstreamState::Latency(WorkClass aClass) const
{
  return mLatency[base::ClassIndex(aClass)];
}

double UpstreamState::Cost(TimePoint aNow, WorkClass aClass,
                           Duration aTypical) const
{
  const Duration known = Latency(aClass).Estimate(aNow, aTypical);
  const Duration fallback =
    aTypical.count() > 0 ? aTypical : mSettings.mInitialLatency;
  const Duration own = known.count() > 0 ? known : fallback;
  double cost = Seconds(own);
  for (const auto& [attempt, running] : mRunning) {
    const Duration age = running.mFirstByte ? own : aNow - running.mStart;
    cost += Seconds(std::max(own, std::min(age, kLongestAge * fallback)));
  }
  return cost * (1 + kFailureCost * mFailures) * ReportFactor(aNow) /
         std::sqrt(WarmFraction(aNow));
}

double UpstreamState::ReportFactor(TimePoint aNow) const
{
  const double age = Seconds(aNow - mLoadTime) / Seconds(kReportDecay);
  return 1 + kReportWeight * mLoad * std::exp(-std::max(age, 0.0));
}

} // namespace auburnmux::balancing
