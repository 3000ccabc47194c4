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

/** The age of a request in flight enters the cost up to this multiple of the
 * typical latency, so that one straggler doesn't keep requests away from the
 * other slots of its upstream. */
constexpr int kMaxAgeFactor = 8;
/** Each consecutive failure adds this to the cost factor. Without it, a failing
 * upstream would look idle, because failures are fast. */
constexpr double kCostPerFailure = 4;
/** Largest relative increase of the cost by a load report. */
constexpr double kMaxReportEffect = 0.25;
/** Time constant with which the weight of a load report decays. */
constexpr Duration kReportDecay = std::chrono::seconds(5);
/** Fraction of its slots that an upstream has at the start of slow start. */
constexpr double kInitialSlowStartFraction = 0.1;

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
  // A limit that doesn't restrict the old share shouldn't restrict the new one.
  if (mLimit && *mLimit >= mSpec.mSlots) {
    mLimit.reset();
  }
  mSpec = aSpec;
}

void UpstreamState::OnStart(TimePoint aNow, base::AttemptId aAttempt,
                            WorkClass aClass)
{
  mRunning[aAttempt] = { aNow, aClass, false };
}

void UpstreamState::OnFirstByte(base::AttemptId aAttempt)
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

void UpstreamState::OnSuccess(TimePoint aNow, WorkClass aClass,
                              Duration aLatency, Duration aTypicalLatency)
{
  mConsecutiveFailures = 0;
  if (!mEjected) {
    mHealth = HealthState::Working;
  }
  mLatency[base::ClassIndex(aClass)].Add(aNow, aLatency, aTypicalLatency,
                                         mSettings.mLatencyDecay);
}

void UpstreamState::OnFailure(TimePoint aNow, FailureKind aKind)
{
  switch (aKind) {
    case FailureKind::Refused:
      mHealth = HealthState::Dead;
      break;
    case FailureKind::ConnectTimeout:
      mHealth = HealthState::Unreachable;
      break;
    case FailureKind::Reset:
    case FailureKind::ServerError:
      mHealth = HealthState::Failing;
      break;
    case FailureKind::NotStarted:
      OnLoadReport(aNow, Duration::zero(), 1);
      return;
    case FailureKind::Stalled:
      // Doesn't count as a failure: a single connection may stall while the
      // upstream works.
      return;
  }
  ++mConsecutiveFailures;
}

void UpstreamState::OnLoadReport(TimePoint aNow, Duration aAge, double aLoad)
{
  const TimePoint time = aNow - std::max(aAge, Duration::zero());
  if (time >= mLoadTime) {
    mLoad = aLoad >= 0 ? std::min(aLoad, 1.0) : 0;
    mLoadTime = time;
  }
}

void UpstreamState::OnLeavingSignal(TimePoint aNow)
{
  mAnnouncedLeaving = true;
  mLeavingSince = aNow;
}

void UpstreamState::OnReadySignal(TimePoint aNow)
{
  if (mAnnouncedLeaving && aNow - mLeavingSince >= mSettings.mMinLeavingTime) {
    mAnnouncedLeaving = false;
    Readmit(aNow);
  }
}

void UpstreamState::Eject(TimePoint aNow, base::Random& aRandom)
{
  mEjected = true;
  mProbeDelay = mSettings.mFirstProbeDelay;
  ScheduleProbe(aNow, aRandom);
}

void UpstreamState::Readmit(TimePoint aNow)
{
  mEjected = false;
  mConsecutiveFailures = 0;
  mConsecutiveSlowSamples = 0;
  mHealth = HealthState::Working;
  for (PeakEwma& it : mLatency) {
    it.Reset();
  }
  BeginSlowStart(aNow);
}

void UpstreamState::ProbeFailed(TimePoint aNow, base::Random& aRandom)
{
  mProbeDelay = std::min(2 * mProbeDelay, mSettings.mMaxProbeDelay);
  ScheduleProbe(aNow, aRandom);
}

// Adds random jitter of up to a quarter of the delay, so that hosts don't probe
// at the same time.
void UpstreamState::ScheduleProbe(TimePoint aNow, base::Random& aRandom)
{
  const auto spread = static_cast<std::uint64_t>(mProbeDelay.count()) / 4 + 1;
  const auto extra = static_cast<Duration::rep>(aRandom.Below(spread));
  mNextProbe = aNow + mProbeDelay + Duration(extra);
}

bool UpstreamState::NeedsProbe(TimePoint aNow) const
{
  return mEjected && !IsLeaving() && mRunning.empty() && aNow >= mNextProbe &&
         UsableSlots(aNow).Count() > 0;
}

bool UpstreamState::AcceptsNoConnections() const
{
  return HasTooManyFailures() &&
         (mHealth == HealthState::Dead || mHealth == HealthState::Unreachable);
}

bool UpstreamState::HasFreeSlot(TimePoint aNow) const
{
  return InFlight() < UsableSlots(aNow) &&
         (!AcceptsNoConnections() || mRunning.empty());
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

SlotCount UpstreamState::UsableSlots(TimePoint aNow) const
{
  const SlotCount limit = std::min(mSpec.mSlots, mLimit.value_or(mSpec.mSlots));
  const std::uint32_t bound =
    std::min(limit.Count(), mSpec.mConnections.Count());
  const auto warm =
    static_cast<std::uint32_t>(std::ceil(bound * SlowStartFraction(aNow)));
  return SlotCount(std::min(bound, warm));
}

double UpstreamState::SlowStartFraction(TimePoint aNow) const
{
  if (!mSlowStartBegin || aNow - *mSlowStartBegin >= mSettings.mSlowStart) {
    return 1;
  }
  const double part =
    Seconds(aNow - *mSlowStartBegin) / Seconds(mSettings.mSlowStart);
  return kInitialSlowStartFraction +
         (1 - kInitialSlowStartFraction) * std::max(part, 0.0);
}

const PeakEwma& UpstreamState::Latency(WorkClass aClass) const
{
  return mLatency[base::ClassIndex(aClass)];
}

double UpstreamState::Cost(TimePoint aNow, WorkClass aClass,
                           Duration aTypicalLatency) const
{
  const Duration known = Latency(aClass).Estimate(aNow, aTypicalLatency);
  const Duration fallback =
    aTypicalLatency.count() > 0 ? aTypicalLatency : mSettings.mInitialLatency;
  const Duration own = known.count() > 0 ? known : fallback;
  double cost = Seconds(own);
  for (const auto& [attempt, running] : mRunning) {
    const Duration age = running.mFirstByte ? own : aNow - running.mStart;
    cost += Seconds(std::max(own, std::min(age, kMaxAgeFactor * fallback)));
  }
  return cost * (1 + kCostPerFailure * mConsecutiveFailures) *
         LoadReportFactor(aNow) / std::sqrt(SlowStartFraction(aNow));
}

double UpstreamState::LoadReportFactor(TimePoint aNow) const
{
  const double age = Seconds(aNow - mLoadTime) / Seconds(kReportDecay);
  return 1 + kMaxReportEffect * mLoad * std::exp(-std::max(age, 0.0));
}

} // namespace auburnmux::balancing
