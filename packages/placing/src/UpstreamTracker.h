#pragma once

#include "placing/src/FailureMeter.h"
#include "placing/src/LoadReport.h"
#include "placing/src/PlacingSettings.h"
#include "placing/src/TokenBucket.h"

#include <optional>

namespace auburnmux::placing {

/** How a request at an upstream ended. */
enum class Outcome
{
  /** The upstream sent a response that isn't an upstream failure. */
  Answered,
  /** The upstream reported that it did not run the request. */
  Rejected,
  /** The response was a failure, incomplete or malformed. */
  Failed,
  /** No connection could be established. */
  Unreachable,
  /** No response arrived before the request's deadline. */
  TimedOut,
  /** The host cancelled the request for a reason unrelated to the upstream. */
  Abandoned,
  /** The host replaced a straggling attempt by a new one. */
  Replaced
};

/** \returns the weight of the outcome in the failure share, 0 to 1; none if the
 * outcome doesn't count. A rejection weighs less than a failure, because the
 * request did not run and can go to another upstream. */
std::optional<double> FailureWeight(Outcome aOutcome);

/** Assumed work time before the first response of a service. */
constexpr base::Duration kDefaultMeanWork = std::chrono::milliseconds(200);

/** Data for estimating the load of an upstream without a recent report. */
struct LoadFallback
{
  /** Estimated requests per slot; none before the service's first report. */
  std::optional<double> mRequestsPerSlot;
  /** Number of hosts that may send to the upstream. */
  std::size_t mHosts = 1;
  /** Mean work time of the service, for an upstream that hasn't run any of this
   * host's requests. */
  base::Duration mMeanWork = kDefaultMeanWork;
};

/**
 * Tracks the load and the health of one upstream as seen by one host. The host
 * knows its own requests exactly; those of other hosts are estimated from the
 * upstream's latest report.
 */
class UpstreamTracker
{
public:
  UpstreamTracker(const PlacingSettings& aSettings, base::SlotCount aSlots);

  void OnSent(base::TimePoint aNow);
  void OnReport(base::TimePoint aNow, const LoadReport& aReport);
  /**
   * Ends one request.
   * \param aWork time that the upstream spent on it, if it was answered
   * \param aExpected time that it was expected to spend
   */
  void OnEnded(base::TimePoint aNow, Outcome aOutcome,
               std::optional<base::Duration> aWork, base::Duration aExpected);
  /** Ends the pause after a health check that passed. */
  void OnHealthCheckPassed(base::TimePoint aNow);

  void SetSlots(base::SlotCount aSlots) { mSlots = aSlots; }
  base::SlotCount Slots() const { return mSlots; }
  std::uint32_t OwnRequests() const { return mOwnRequests; }

  /** \returns the estimated requests of all hosts that it runs or queues. */
  double Load(base::TimePoint aNow, const LoadFallback& aFallback) const;
  /** \returns the expected wait of a new request for a slot, behind \a aQueued
   * others that are queued on this host. */
  base::Duration ExpectedWait(base::TimePoint aNow,
                              const LoadFallback& aFallback,
                              double aQueued) const;
  /**
   * \returns whether a request may be sent: the upstream has a free slot or a
   * short queue. A short queue keeps slots from being idle while the next
   * request is in transit. Before the first report of the service, a host uses
   * at most its even part of the slots.
   */
  bool HasCapacity(base::TimePoint aNow, const LoadFallback& aFallback) const;
  /** \returns the running mean of actual to expected work time. The expected
   * time already includes the slowness that the upstream reports. */
  double WorkTimeRatio() const { return mWorkTimeRatio; }
  /** \returns the reported work time relative to normal, decayed towards 1 with
   * the age of the report; at least 1. */
  double Slowness(base::TimePoint aNow) const;
  /** \returns the share of requests that fail there, 0 to 1. Rejections count
   * partly, see FailureWeight(). */
  double FailureShare(base::TimePoint aNow) const
  {
    return mFailures.Share(aNow);
  }
  /** \returns whether it gets no requests because connections failed or several
   * requests timed out. */
  bool IsPaused() const { return mPausedUntil.has_value(); }
  /** \returns when the next health check is due; none while it isn't paused. */
  std::optional<base::TimePoint> PausedUntil() const { return mPausedUntil; }
  /** Restarts the pause and so postpones the next health check. */
  void PostponeHealthCheck(base::TimePoint aNow);
  /** \returns how long requests have been open there without any response,
   * minus a tolerance for long work. */
  base::Duration UnexplainedSilence(base::TimePoint aNow,
                                    const LoadFallback& aFallback) const;

private:
  /** \returns the slots divided evenly among the hosts. */
  double SlotsPerHost(std::size_t aHosts) const;
  base::Duration MeanWork(const LoadFallback& aFallback) const
  {
    return mMeanWork.value_or(aFallback.mMeanWork);
  }
  void UpdateWorkTimes(base::Duration aWork, base::Duration aExpected);
  /** Updates from an outcome whether the upstream still responds, and pauses it
   * if not. */
  void TrackResponses(base::TimePoint aNow, Outcome aOutcome);
  void Pause(base::TimePoint aNow);

  const PlacingSettings* mSettings;
  base::SlotCount mSlots;
  std::uint32_t mOwnRequests = 0;
  double mOtherRequests = 0;
  /** Unset until the first report or passed health check. */
  std::optional<base::TimePoint> mReportedAt;
  base::TimePoint mSlownessAt;
  double mSlowness = 1;
  double mWorkTimeRatio = 1;
  /** Running mean of the time for which a request occupies a slot; unset until
   * the first response. */
  std::optional<base::Duration> mMeanWork;
  FailureMeter mFailures;
  /** Requests that timed out since the last response. */
  int mSilentTimeouts = 0;
  std::optional<base::TimePoint> mPausedUntil;
  base::Duration mPauseLength{};
  std::optional<base::TimePoint> mSilentSince;
};

} // namespace auburnmux::placing
