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
  /** A response that isn't a failure of the upstream. */
  Answered,
  /** The upstream said that it did not run the request. */
  Rejected,
  /** A failure response, a broken or a malformed one. */
  Failed,
  /** No connection could be made. */
  Unreachable,
  /** No response came before the request's time was up. */
  TimedOut,
  /** The host gave the request up; that says little of the upstream. */
  Abandoned,
  /** The host sent the request elsewhere as it took too long. */
  Overtaken
};

/** \returns how much of a failure the outcome is, 0 to 1; none when it says
 * nothing of the upstream. A rejected request did not run and can go
 * elsewhere. */
std::optional<double> FailureOf(Outcome aOutcome);

/** What is known of an upstream that did not report lately. */
struct UsualLoad
{
  /** Requests for each slot at the service's upstreams; none if unknown. */
  std::optional<double> mPerSlot;
  /** Hosts that may send to it. */
  std::size_t mHosts = 1;
};

/**
 * Load and soundness of one upstream as one host sees them: its own requests
 * exactly, those of other hosts by the upstream's latest report.
 */
class UpstreamGauge
{
public:
  UpstreamGauge(const PlacingSettings& aSettings, base::SlotCount aSlots);

  void OnSent(base::TimePoint aNow);
  void OnReport(base::TimePoint aNow, const LoadReport& aReport);
  /**
   * Ends one request.
   * \param aWork time that the upstream spent on it, if it was answered
   * \param aExpected time that it was expected to spend
   */
  void OnEnded(base::TimePoint aNow, Outcome aOutcome,
               std::optional<base::Duration> aWork, base::Duration aExpected);
  /** A health check passed after a pause. */
  void OnHealthy(base::TimePoint aNow);

  void SetSlots(base::SlotCount aSlots) { mSlots = aSlots; }
  base::SlotCount Slots() const { return mSlots; }
  std::uint32_t Own() const { return mOwn; }

  /** \returns requests of all hosts that it runs or queues. */
  double Load(base::TimePoint aNow, const UsualLoad& aUsual) const;
  /** \returns how long a new request waits for a slot, behind \a aQueued
   * others that this host holds back. */
  base::Duration Wait(base::TimePoint aNow, const UsualLoad& aUsual,
                      double aQueued) const;
  /**
   * \returns whether a request may be sent: the upstream has a slot for it, or
   * a short queue, so that no slot idles while the next request is on its way.
   * Without a fresh report each host keeps to its part of the slots, or goes by
   * the usual load where these parts are too small.
   */
  bool HasRoom(base::TimePoint aNow, const UsualLoad& aUsual) const;
  /** \returns how much longer than expected work takes there, other than by
   * what its reports say. */
  double Pace() const { return mPace; }
  /** \returns how much longer than usual work takes; at least 1. */
  double Slowness(base::TimePoint aNow) const;
  /** \returns the share of requests that fail there, 0 to 1. Rejections count
   * for a part, see FailureOf(). */
  double FailureShare(base::TimePoint aNow) const
  {
    return mFailures.Share(aNow);
  }
  /** \returns whether it gets no requests because connections failed. */
  bool IsPaused() const { return mPausedUntil.has_value(); }
  /** \returns when a health check is due; none while it isn't paused. */
  std::optional<base::TimePoint> PausedUntil() const { return mPausedUntil; }
  /** Puts the next health check off. */
  void PostponeCheck(base::TimePoint aNow);
  /** \returns how long requests are open there without any response, beyond
   * what their work explains. */
  base::Duration Silence(base::TimePoint aNow) const;

private:
  /** \returns each host's part of the slots. */
  double PartOfSlots(std::size_t aHosts) const;
  void LearnWork(base::Duration aWork, base::Duration aExpected);
  /** Judges from an outcome whether the upstream still responds. */
  void HearOf(base::TimePoint aNow, Outcome aOutcome);
  void Pause(base::TimePoint aNow);

  const PlacingSettings* mSettings;
  base::SlotCount mSlots;
  std::uint32_t mOwn = 0;
  double mOthers = 0;
  /** Unset until the upstream reports. */
  std::optional<base::TimePoint> mReportedAt;
  base::TimePoint mSlownessAt;
  double mSlowness = 1;
  double mPace = 1;
  /** Mean time that a request occupies a slot. */
  base::Duration mMeanWork = std::chrono::milliseconds(200);
  FailureMeter mFailures;
  /** Requests that timed out since the last response. */
  int mSilentTimeouts = 0;
  std::optional<base::TimePoint> mPausedUntil;
  base::Duration mPause{};
  std::optional<base::TimePoint> mSilentSince;
};

} // namespace auburnmux::placing
