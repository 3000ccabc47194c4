#include "quotas/src/Requester.h"

#include <algorithm>
#include <utility>

namespace auburnmux::quotas {

void Requester::SetTargets(base::TimePoint aNow,
                           std::vector<base::HostId> aTargets)
{
  mTargets = std::move(aTargets);
  Choose(aNow);
}

base::HostId Requester::Preferred() const
{
  for (const base::HostId& it : mTargets) {
    if (mAvoidedUntil.find(it) == mAvoidedUntil.end()) {
      return it;
    }
  }
  return mTargets.empty() ? base::HostId() : mTargets.back();
}

void Requester::Choose(base::TimePoint aNow)
{
  const base::HostId preferred = Preferred();
  if (preferred == mTarget) {
    mIsReleasing = false;
    mReleasedBy.reset();
    return;
  }
  const bool isAvoided = mAvoidedUntil.find(mTarget) != mAvoidedUntil.end();
  if (!isAvoided && IsAttached(aNow) && *mHolder == mTarget) {
    mIsReleasing = true;
    return;
  }
  MoveTo(preferred);
}

void Requester::MoveTo(const base::HostId& aHost)
{
  mTarget = aHost;
  mEcho = Stamp();
  mReported = {};
  mOutstanding.reset();
  mSilentSince.reset();
  mHasSent = false;
  mReleasedBy.reset();
  mIsReleasing = false;
}

void Requester::OnTime(base::TimePoint aNow)
{
  if (mHolder && aNow >= mHolderUntil) {
    mHolder.reset();
  }
  if (mSilentSince && aNow - *mSilentSince >= kSilence) {
    const bool hasAnswered = mEcho != Stamp();
    mAvoidedUntil[mTarget] =
      aNow + (hasAnswered ? kSilentHostPause : kUnknownHostPause);
    mSilentSince.reset();
  }
  for (auto it = mAvoidedUntil.begin(); it != mAvoidedUntil.end();) {
    it = aNow >= it->second ? mAvoidedUntil.erase(it) : std::next(it);
  }
  Choose(aNow);
}

base::TimePoint Requester::NextTimeout() const
{
  base::TimePoint next = base::TimePoint::max();
  if (mHolder) {
    next = std::min(next, mHolderUntil);
  }
  if (mSilentSince) {
    next = std::min(next, *mSilentSince + kSilence);
  }
  for (const auto& [host, until] : mAvoidedUntil) {
    next = std::min(next, until);
  }
  return next;
}

bool Requester::MayAttach(base::TimePoint aNow) const
{
  return !mIsReleasing && mEcho != Stamp() && aNow - mEchoReceivedAt < kLease &&
         (!IsAttached(aNow) || *mHolder == mTarget);
}

bool Requester::HasChanged() const
{
  if (mIsReleasing) {
    return !mReleasedBy;
  }
  const bool mayAttach = mEcho != Stamp() && (!mHolder || *mHolder == mTarget);
  return mayAttach && (mReported.mAttached != mHosts.mAttached ||
                       mReported.mCounted != mHosts.mCounted);
}

base::TimePoint Requester::NextSend(Need aNeed) const
{
  if (mTarget.IsEmpty()) {
    return base::TimePoint::max();
  }
  if (!mHasSent) {
    return base::TimePoint::min();
  }
  const base::TimePoint repeat = mOutstanding
                                   ? mOutstanding->mSentAt + kRepeatAfter
                                   : base::TimePoint::max();
  if (aNeed == Need::Urgent && mOptions.mMayOvertake) {
    return std::min(repeat, mLastSent + kReportSpacing);
  }
  if (mOutstanding) {
    return repeat;
  }
  if (aNeed == Need::Urgent || HasChanged()) {
    return mLastSent + kReportSpacing;
  }
  return mLastSent + (aNeed == Need::Ahead ? mOptions.mAheadSpacing : kRenewal);
}

Report Requester::MakeReport(base::TimePoint aNow, std::vector<Demand> aDemands)
{
  Report report;
  report.mLevel = mOptions.mLevel;
  report.mStamp = mClock.Next(aNow);
  report.mHosts.mSharers = mHosts.mSharers;
  report.mHosts.mKnown = mHosts.mKnown;
  report.mDemands = std::move(aDemands);
  // A stamp that is too old would be taken for a late report.
  if (mEcho != Stamp() && aNow - mEchoReceivedAt < kLease) {
    report.mEcho = mEcho;
  }
  if (MayAttach(aNow)) {
    report.mHosts.mAttached = mHosts.mAttached;
    report.mHosts.mCounted = mHosts.mCounted;
    if (mHosts.mAttached > 0) {
      if (mHolder != mTarget) {
        mHolder = mTarget;
        mHolderUntil = base::TimePoint();
        mConfirmedByHolder = Stamp();
      }
      mHolderUntil = std::max(mHolderUntil, mEchoReceivedAt + mOptions.mLease);
    }
  } else if (mIsReleasing && !mReleasedBy) {
    mReleasedBy = report.mStamp;
  }
  mReported = report.mHosts;
  mOutstanding = { report.mStamp, aNow };
  mLastSent = aNow;
  mHasSent = true;
  if (!mSilentSince) {
    mSilentSince = aNow;
  }
  return report;
}

std::optional<base::TimePoint> Requester::OnGrant(base::TimePoint aNow,
                                                  const base::HostId& aFrom,
                                                  const Grant& aGrant)
{
  const auto sentAt = mClock.TimeOf(aGrant.mEcho);
  if (aFrom != mTarget || !sentAt) {
    return std::nullopt;
  }
  if (mOutstanding && mOutstanding->mStamp == aGrant.mEcho) {
    mOutstanding.reset();
  }
  if (aNow - *sentAt < kLease) {
    mSilentSince.reset();
    if (aGrant.mStamp > mEcho) {
      mEcho = aGrant.mStamp;
      mEchoReceivedAt = aNow;
    }
    if (mHolder == mTarget) {
      mConfirmedByHolder = std::max(mConfirmedByHolder, aGrant.mEcho);
    }
  }
  if (mReleasedBy && aGrant.mEcho >= *mReleasedBy) {
    mHolder.reset();
    Choose(aNow);
  }
  return sentAt;
}

} // namespace auburnmux::quotas
