#pragma once

#include "quotas/src/Settings.h"
#include "quotas/src/StampClock.h"

#include <map>
#include <optional>
#include <vector>

namespace auburnmux::quotas {

/** How soon a report is needed. */
enum class Need
{
  None,
  /** For requests that are expected. */
  Ahead,
  /** For requests that wait. */
  Urgent
};

/** How a Requester sends. */
struct RequesterOptions
{
  Level mLevel = Level::Aggregator;
  /** Time after the last receipt from a host until when this host may be
   * counted through it: kLease for each level above. */
  base::Duration mLease{};
  /** Spacing of reports for Need::Ahead. */
  base::Duration mAheadSpacing{};
  /** Whether an urgent report may be sent while one is unanswered. */
  bool mMayOvertake = false;
};

/**
 * Decides to which host this host reports, and when. It holds the attachment:
 * hosts are reported as attached to one receiver at a time, and to another one
 * only after the first has confirmed the end, or after the attachment has
 * expired. Tokens may be requested without an attachment.
 */
class Requester
{
public:
  Requester(RequesterOptions aOptions, StampClock& aClock)
    : mOptions(aOptions)
    , mClock(aClock)
  {
  }

  /** Sets the hosts to report to, in order of preference. */
  void SetTargets(base::TimePoint aNow, std::vector<base::HostId> aTargets);
  /** Sets the hosts that are to be attached. */
  void SetHosts(const HostTotals& aHosts) { mHosts = aHosts; }

  /** Ends expired attachments and moves on from a silent host. */
  void OnTime(base::TimePoint aNow);
  /** \returns when the next report is due. */
  base::TimePoint NextSend(Need aNeed) const;
  /** \returns when OnTime() has something to do. */
  base::TimePoint NextTimeout() const;
  /** \returns the report to be sent to Target() now. */
  Report MakeReport(base::TimePoint aNow, std::vector<Demand> aDemands);
  /** \returns when the answered report was sent, or nothing if the grant must
   * be ignored. */
  std::optional<base::TimePoint> OnGrant(base::TimePoint aNow,
                                         const base::HostId& aFrom,
                                         const Grant& aGrant);

  /** The host that is asked now; empty if there is none. */
  const base::HostId& Target() const { return mTarget; }
  bool IsAttached(base::TimePoint aNow) const
  {
    return mHolder && aNow < mHolderUntil;
  }
  /** \returns whether no host counts the hosts of a report that was sent at or
   * before \a aStamp, except as changed by later reports. */
  bool IsSettledSince(base::TimePoint aNow, Stamp aStamp) const
  {
    return !IsAttached(aNow) || mConfirmedByHolder > aStamp;
  }

private:
  struct Outstanding
  {
    Stamp mStamp;
    base::TimePoint mSentAt;
  };

  /** \returns the preferred host that isn't avoided. */
  base::HostId Preferred() const;
  void Choose(base::TimePoint aNow);
  void MoveTo(const base::HostId& aHost);
  bool MayAttach(base::TimePoint aNow) const;
  /** \returns whether the attachment differs from what was last reported. */
  bool HasChanged() const;

  RequesterOptions mOptions;
  StampClock& mClock;
  std::vector<base::HostId> mTargets;
  std::map<base::HostId, base::TimePoint> mAvoidedUntil;
  HostTotals mHosts;

  base::HostId mTarget;
  Stamp mEcho;
  base::TimePoint mEchoReceivedAt;
  /** The attached hosts in the last report. */
  HostTotals mReported;
  std::optional<Outstanding> mOutstanding;
  /** When the oldest report was sent since which the target is silent. */
  std::optional<base::TimePoint> mSilentSince;
  base::TimePoint mLastSent;
  bool mHasSent = false;

  std::optional<base::HostId> mHolder;
  base::TimePoint mHolderUntil;
  Stamp mConfirmedByHolder;
  /** The first report that ended the attachment to the target. */
  std::optional<Stamp> mReleasedBy;
  bool mIsReleasing = false;
};

} // namespace auburnmux::quotas
