#include "placing/src/UpstreamGauge.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace auburnmux::placing {

namespace {

using Seconds = std::chrono::duration<double>;

/** Weight of one sample in the running means. */
constexpr double kSampleWeight = 0.1;

/** A sample above this multiple counts as this; a few requests run many times
 * longer than the rest. */
constexpr double kSampleLimit = 4;

/** Weight of one outcome in the share of failures. */
constexpr double kFailureWeight = 0.2;

/** Timeouts without a response in between that are taken as a sign that the
 * upstream is gone. One may be a single long piece of work. */
constexpr int kSilentTimeouts = 2;

/** Slots that each host may take for itself without a report, at least. Where
 * so many hosts share an upstream that their parts are smaller, the usual load
 * tells more. */
constexpr double kLeastPart = 2;

double Decay(base::Duration aAge, Seconds aLife)
{
  return std::exp(-Seconds(aAge) / aLife);
}

} // namespace

std::optional<double> FailureOf(Outcome aOutcome)
{
  constexpr double kRejection = 0.25;
  switch (aOutcome) {
    case Outcome::Answered:
      return 0;
    case Outcome::Rejected:
      return kRejection;
    case Outcome::Failed:
    case Outcome::Unreachable:
    case Outcome::TimedOut:
      return 1;
    case Outcome::Abandoned:
    case Outcome::Overtaken:
      return std::nullopt;
  }
  return std::nullopt;
}

UpstreamGauge::UpstreamGauge(const PlacingSettings& aSettings,
                             base::SlotCount aSlots)
  : mSettings(&aSettings)
  , mSlots(aSlots)
  , mFailures(kFailureWeight)
{
}

void UpstreamGauge::OnSent(base::TimePoint aNow)
{
  ++mOwn;
  if (!mSilentSince) {
    mSilentSince = aNow;
  }
}

void UpstreamGauge::OnReport(base::TimePoint aNow, const LoadReport& aReport)
{
  const double total = aReport.mRunning + aReport.mWaiting;
  mOthers = std::max(0.0, total - mOwn);
  mReportedAt = aNow;
  mSlownessAt = aNow;
  mSlowness = std::max(1.0, aReport.mSlowness);
  if (aReport.mSlots.Count() > 0) {
    mSlots = aReport.mSlots;
  }
}

void UpstreamGauge::OnEnded(base::TimePoint aNow, Outcome aOutcome,
                            std::optional<base::Duration> aWork,
                            base::Duration aExpected)
{
  assert(mOwn > 0);
  --mOwn;
  if (aOutcome == Outcome::Answered || aOutcome == Outcome::Rejected) {
    mPause = {};
    mPausedUntil.reset();
  }
  if (const auto failure = FailureOf(aOutcome)) {
    mFailures.Count(aNow, *failure);
  }
  HearOf(aNow, aOutcome);
  if (aWork) {
    LearnWork(*aWork, aExpected);
  }
}

void UpstreamGauge::LearnWork(base::Duration aWork, base::Duration aExpected)
{
  const double mean = static_cast<double>(mMeanWork.count());
  const double sample =
    std::min(static_cast<double>(aWork.count()), kSampleLimit * mean);
  mMeanWork = base::Duration(
    static_cast<base::Duration::rep>(mean + kSampleWeight * (sample - mean)));
  if (aExpected > base::Duration::zero()) {
    const double ratio = static_cast<double>(aWork.count()) /
                         static_cast<double>(aExpected.count());
    mPace += kSampleWeight * (std::clamp(ratio, 0.5, kSampleLimit) - mPace);
  }
}

void UpstreamGauge::HearOf(base::TimePoint aNow, Outcome aOutcome)
{
  const bool isHeard = aOutcome != Outcome::Abandoned &&
                       aOutcome != Outcome::Overtaken &&
                       aOutcome != Outcome::TimedOut;
  if (isHeard) {
    mSilentTimeouts = 0;
  } else if (aOutcome == Outcome::TimedOut) {
    ++mSilentTimeouts;
  }
  if (aOutcome == Outcome::Unreachable || mSilentTimeouts >= kSilentTimeouts) {
    mSilentTimeouts = 0;
    Pause(aNow);
  }
  if (mOwn == 0) {
    mSilentSince.reset();
  } else if (isHeard) {
    mSilentSince = aNow;
  }
}

void UpstreamGauge::OnHealthy(base::TimePoint aNow)
{
  mPausedUntil.reset();
  mOthers = 0;
  mReportedAt = aNow;
}

void UpstreamGauge::Pause(base::TimePoint aNow)
{
  if (mPausedUntil) {
    return;
  }
  mPause =
    std::clamp(2 * mPause, mSettings->mFirstPause, mSettings->mLongestPause);
  mPausedUntil = aNow + mPause;
}

void UpstreamGauge::PostponeCheck(base::TimePoint aNow)
{
  mPausedUntil.reset();
  Pause(aNow);
}

double UpstreamGauge::PartOfSlots(std::size_t aHosts) const
{
  return static_cast<double>(mSlots.Count()) /
         static_cast<double>(std::max<std::size_t>(aHosts, 1));
}

double UpstreamGauge::Load(base::TimePoint aNow, const UsualLoad& aUsual) const
{
  const double freshness =
    mReportedAt ? Decay(aNow - *mReportedAt, mSettings->mReportLife) : 0;
  const double reported = mOwn + mOthers * freshness;
  if (PartOfSlots(aUsual.mHosts) >= kLeastPart) {
    return reported; // the hosts' parts bound what isn't reported
  }
  const double usual = aUsual.mPerSlot.value_or(0) * mSlots.Count();
  return reported + std::max(0.0, usual - mOwn) * (1 - freshness);
}

bool UpstreamGauge::HasRoom(base::TimePoint aNow, const UsualLoad& aUsual) const
{
  const double slots = std::max(1.0, static_cast<double>(mSlots.Count()));
  const double part = PartOfSlots(aUsual.mHosts);
  const bool isReportFresh =
    mReportedAt && aNow - *mReportedAt <= mSettings->mFreshReport;
  if (!isReportFresh && (part >= kLeastPart || !aUsual.mPerSlot)) {
    return mOwn < std::max(std::ceil(part), kLeastPart);
  }
  return Load(aNow, aUsual) + 1 <= slots * (1 + mSettings->mQueueShare);
}

base::Duration UpstreamGauge::Wait(base::TimePoint aNow,
                                   const UsualLoad& aUsual,
                                   double aQueued) const
{
  const double slots = std::max(1.0, static_cast<double>(mSlots.Count()));
  const double excess = Load(aNow, aUsual) + aQueued + 1 - slots;
  if (excess <= 0) {
    return {};
  }
  return std::chrono::duration_cast<base::Duration>(mMeanWork *
                                                    (excess / slots));
}

base::Duration UpstreamGauge::Silence(base::TimePoint aNow) const
{
  constexpr int kExplainedWorks = 3;
  if (!mSilentSince) {
    return {};
  }
  return std::max(aNow - *mSilentSince - kExplainedWorks * mMeanWork,
                  base::Duration::zero());
}

double UpstreamGauge::Slowness(base::TimePoint aNow) const
{
  return 1 +
         (mSlowness - 1) * Decay(aNow - mSlownessAt, mSettings->mSlownessLife);
}

} // namespace auburnmux::placing
