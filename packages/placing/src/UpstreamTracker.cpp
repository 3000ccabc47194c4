#include "placing/src/UpstreamTracker.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace auburnmux::placing {

namespace {

using Seconds = std::chrono::duration<double>;

/** Weight of one sample in the running means of work times. */
constexpr double kSampleWeight = 0.1;

/** Samples are capped at this multiple of the mean or the expected time,
 * because a few requests run many times longer than the rest. */
constexpr double kMaxSampleRatio = 4;

/** Weight of one outcome in the failure share. */
constexpr double kFailureSampleWeight = 0.2;

/** Consecutive timeouts without any response after which the upstream is
 * considered unavailable. One timeout may be due to a single long request. */
constexpr int kMaxSilentTimeouts = 2;

/** Minimum number of slots that each host may use before the first report of
 * the service. */
constexpr double kMinSlotsPerHost = 2;

double Decay(base::Duration aAge, Seconds aTimeConstant)
{
  return std::exp(-Seconds(aAge) / aTimeConstant);
}

} // namespace

std::optional<double> FailureWeight(Outcome aOutcome)
{
  constexpr double kRejectionWeight = 0.25;
  switch (aOutcome) {
    case Outcome::Answered:
      return 0;
    case Outcome::Rejected:
      return kRejectionWeight;
    case Outcome::Failed:
    case Outcome::Unreachable:
    case Outcome::TimedOut:
      return 1;
    case Outcome::Abandoned:
    case Outcome::Replaced:
      return std::nullopt;
  }
  return std::nullopt;
}

UpstreamTracker::UpstreamTracker(const PlacingSettings& aSettings,
                                 base::SlotCount aSlots)
  : mSettings(&aSettings)
  , mSlots(aSlots)
  , mFailures(kFailureSampleWeight)
{
}

void UpstreamTracker::OnSent(base::TimePoint aNow)
{
  ++mOwnRequests;
  if (!mSilentSince) {
    mSilentSince = aNow;
  }
}

void UpstreamTracker::OnReport(base::TimePoint aNow, const LoadReport& aReport)
{
  const double total = aReport.mRunning + aReport.mWaiting;
  mOtherRequests = std::max(0.0, total - mOwnRequests);
  mReportedAt = aNow;
  mSlownessAt = aNow;
  mSlowness = std::max(1.0, aReport.mSlowness);
  if (aReport.mSlots.Count() > 0) {
    mSlots = aReport.mSlots;
  }
}

void UpstreamTracker::OnEnded(base::TimePoint aNow, Outcome aOutcome,
                              std::optional<base::Duration> aWork,
                              base::Duration aExpected)
{
  assert(mOwnRequests > 0);
  --mOwnRequests;
  if (aOutcome == Outcome::Answered || aOutcome == Outcome::Rejected) {
    mPauseLength = {};
    mPausedUntil.reset();
  }
  if (const auto failure = FailureWeight(aOutcome)) {
    mFailures.AddSample(aNow, *failure);
  }
  TrackResponses(aNow, aOutcome);
  if (aWork) {
    UpdateWorkTimes(*aWork, aExpected);
  }
}

void UpstreamTracker::UpdateWorkTimes(base::Duration aWork,
                                      base::Duration aExpected)
{
  if (!mMeanWork) {
    mMeanWork = aExpected > base::Duration::zero() ? aExpected : aWork;
  }
  const double mean = static_cast<double>(mMeanWork->count());
  const double sample =
    std::min(static_cast<double>(aWork.count()), kMaxSampleRatio * mean);
  mMeanWork = base::Duration(
    static_cast<base::Duration::rep>(mean + kSampleWeight * (sample - mean)));
  if (aExpected > base::Duration::zero()) {
    const double ratio = static_cast<double>(aWork.count()) /
                         static_cast<double>(aExpected.count());
    mWorkTimeRatio += kSampleWeight * (std::clamp(ratio, 0.5, kMaxSampleRatio) -
                                       mWorkTimeRatio);
  }
}

void UpstreamTracker::TrackResponses(base::TimePoint aNow, Outcome aOutcome)
{
  const bool hasResponded = aOutcome != Outcome::Abandoned &&
                            aOutcome != Outcome::Replaced &&
                            aOutcome != Outcome::TimedOut;
  if (hasResponded) {
    mSilentTimeouts = 0;
  } else if (aOutcome == Outcome::TimedOut) {
    ++mSilentTimeouts;
  }
  if (aOutcome == Outcome::Unreachable ||
      mSilentTimeouts >= kMaxSilentTimeouts) {
    mSilentTimeouts = 0;
    Pause(aNow);
  }
  if (mOwnRequests == 0) {
    mSilentSince.reset();
  } else if (hasResponded) {
    mSilentSince = aNow;
  }
}

void UpstreamTracker::OnHealthCheckPassed(base::TimePoint aNow)
{
  mPausedUntil.reset();
  mOtherRequests = 0;
  mReportedAt = aNow;
}

void UpstreamTracker::Pause(base::TimePoint aNow)
{
  if (mPausedUntil) {
    return;
  }
  mPauseLength = std::clamp(2 * mPauseLength, mSettings->mInitialPause,
                            mSettings->mMaxPause);
  mPausedUntil = aNow + mPauseLength;
}

void UpstreamTracker::PostponeHealthCheck(base::TimePoint aNow)
{
  mPausedUntil.reset();
  Pause(aNow);
}

double UpstreamTracker::SlotsPerHost(std::size_t aHosts) const
{
  return static_cast<double>(mSlots.Count()) /
         static_cast<double>(std::max<std::size_t>(aHosts, 1));
}

double UpstreamTracker::Load(base::TimePoint aNow,
                             const LoadFallback& aFallback) const
{
  const double freshness =
    mReportedAt
      ? Decay(aNow - *mReportedAt,
              std::min(MeanWork(aFallback), mSettings->mReportDecayTime))
      : 0;
  const double reported = mOwnRequests + mOtherRequests * freshness;
  const double typical =
    aFallback.mRequestsPerSlot.value_or(0) * mSlots.Count();
  return reported + std::max(0.0, typical - mOwnRequests) * (1 - freshness);
}

bool UpstreamTracker::HasCapacity(base::TimePoint aNow,
                                  const LoadFallback& aFallback) const
{
  const double slots = std::max(1.0, static_cast<double>(mSlots.Count()));
  const bool isReportFresh =
    mReportedAt && aNow - *mReportedAt <= mSettings->mMaxReportAge;
  if (!isReportFresh && !aFallback.mRequestsPerSlot) {
    return mOwnRequests < std::max(std::ceil(SlotsPerHost(aFallback.mHosts)),
                                   kMinSlotsPerHost);
  }
  return Load(aNow, aFallback) + 1 <= slots * (1 + mSettings->mQueueShare);
}

base::Duration UpstreamTracker::ExpectedWait(base::TimePoint aNow,
                                             const LoadFallback& aFallback,
                                             double aQueued) const
{
  const double slots = std::max(1.0, static_cast<double>(mSlots.Count()));
  const double excess = Load(aNow, aFallback) + aQueued + 1 - slots;
  if (excess <= 0) {
    return {};
  }
  return std::chrono::duration_cast<base::Duration>(MeanWork(aFallback) *
                                                    (excess / slots));
}

base::Duration UpstreamTracker::UnexplainedSilence(
  base::TimePoint aNow, const LoadFallback& aFallback) const
{
  constexpr int kToleratedMeanWorks = 3;
  if (!mSilentSince) {
    return {};
  }
  return std::max(aNow - *mSilentSince -
                    kToleratedMeanWorks * MeanWork(aFallback),
                  base::Duration::zero());
}

double UpstreamTracker::Slowness(base::TimePoint aNow) const
{
  return 1 + (mSlowness - 1) *
               Decay(aNow - mSlownessAt, mSettings->mSlownessDecayTime);
}

} // namespace auburnmux::placing
