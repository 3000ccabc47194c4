#include "membership/src/FailureDetector.h"

#include <algorithm>

namespace auburnmux::membership {

namespace {

/** An observer that answered within this is counted on for a confirmation. */
constexpr base::Duration kReachableWithin = std::chrono::seconds(1);
/** Watches that were started for others end this long after the last claim. */
constexpr base::Duration kTemporaryWatch = std::chrono::seconds(5);

} // namespace

FailureDetector::FailureDetector(const Timing& aTiming, base::HostId aSelf)
  : mTiming(aTiming)
  , mSelf(std::move(aSelf))
{
}

void FailureDetector::Require(base::TimePoint aNow, const ObserverRing& aRing)
{
  mWatches.Require(aNow, aRing.Subjects());
}

std::vector<FailureDetector::Judgement> FailureDetector::OnTick(
  base::TimePoint aNow, const HostTable& aTable, const ObserverRing& aRing)
{
  std::vector<Judgement> out;
  for (const base::HostId& id : mWatches.Subjects()) {
    const HostRecord* record = aTable.Find(id);
    if (record == nullptr || record->mUpdate.mState == HostState::Dead) {
      mWatches.Remove(id);
    } else {
      Check(aNow, *record, aTable, aRing, out);
    }
  }
  return out;
}

void FailureDetector::Check(base::TimePoint aNow, const HostRecord& aRecord,
                            const HostTable& aTable, const ObserverRing& aRing,
                            std::vector<Judgement>& aOut)
{
  const base::HostId& id = aRecord.mUpdate.mHost.mId;
  Watch& watch = *mWatches.Find(id);
  if (watch.DirectSilence(aNow) < mTiming.mSuspectAfter) {
    return;
  }
  const base::Duration silence = watch.Silence(aNow);
  if (silence >= mTiming.mSuspectAfter &&
      aRecord.mUpdate.mState == HostState::Alive) {
    aOut.push_back({ Step::Suspect, id, {} });
  }
  std::vector<base::HostId> others = aRing.ObserversOf(id);
  others.erase(std::remove(others.begin(), others.end(), mSelf), others.end());
  const bool isVoteDue = silence >= mTiming.mDeadAfter && !watch.mHasVoted;
  if (isVoteDue || aNow - watch.mAsked >= mTiming.mHeartbeat) {
    watch.mAsked = aNow;
    watch.mHasVoted = silence >= mTiming.mDeadAfter;
    aOut.push_back({ Step::Ask, id, others });
    // An observer that doesn't answer may be lost together with the host.
    for (const base::HostId& it : others) {
      if (!IsReachable(aNow, it, aTable)) {
        mWatches.AddTemporary(aNow, it, aNow + kTemporaryWatch);
      }
    }
  }
  if (silence < mTiming.mDeadAfter) {
    return;
  }
  std::vector<base::HostId> confirmations = Confirmations(aNow, watch);
  const bool isAlone =
    std::none_of(others.begin(), others.end(), [&](const base::HostId& aId) {
      return IsReachable(aNow, aId, aTable);
    });
  if (isAlone || !confirmations.empty()) {
    confirmations.insert(confirmations.begin(), mSelf);
    aOut.push_back({ Step::Dead, id, std::move(confirmations) });
  }
}

std::vector<base::HostId> FailureDetector::Confirmations(
  base::TimePoint aNow, const Watch& aWatch) const
{
  std::vector<base::HostId> out;
  for (const auto& [observer, time] : aWatch.mVotes) {
    if (aNow - time <= kReachableWithin) {
      out.push_back(observer);
    }
  }
  return out;
}

bool FailureDetector::IsReachable(base::TimePoint aNow, const base::HostId& aId,
                                  const HostTable& aTable) const
{
  const HostRecord* record = aTable.Find(aId);
  return record != nullptr && record->mUpdate.mState != HostState::Dead &&
         aNow - record->mLastContact <= kReachableWithin;
}

std::optional<FailureDetector::Step> FailureDetector::OnHeard(
  base::TimePoint aNow, const HostRecord& aRecord)
{
  mWatches.OnHeard(aNow, aRecord.mUpdate.mHost.mId);
  if (aRecord.mIsLocalSuspicion) {
    return Step::Restored;
  }
  return std::nullopt;
}

std::optional<FailureDetector::Step> FailureDetector::OnMeasurement(
  base::TimePoint aNow, const HostUpdate& aUpdate, const base::HostId& aFrom,
  const HostRecord& aRecord)
{
  const base::HostId& id = aUpdate.mHost.mId;
  if (aUpdate.mState == HostState::Alive) {
    mWatches.OnVouched(aNow, id);
    return aRecord.mIsLocalSuspicion ? std::optional(Step::Restored)
                                     : std::nullopt;
  }
  mWatches.AddTemporary(aNow, id, aNow + kTemporaryWatch);
  const Watch* watch = mWatches.Find(id);
  if (watch == nullptr) {
    return std::nullopt;
  }
  if (aUpdate.mState == HostState::Dead) {
    mWatches.OnVote(aNow, id, aFrom);
  }
  const bool isSilentHere = watch->Silence(aNow) >= mTiming.mSuspectAfter;
  const bool isNews =
    aRecord.mUpdate.mState == HostState::Alive || aRecord.mIsLocalSuspicion;
  return isSilentHere && isNews ? std::optional(Step::Agreed) : std::nullopt;
}

std::optional<HostUpdate> FailureDetector::Measure(
  base::TimePoint aNow, const HostRecord& aRecord) const
{
  const Watch* watch = mWatches.Find(aRecord.mUpdate.mHost.mId);
  if (watch == nullptr) {
    return std::nullopt;
  }
  HostUpdate out = aRecord.mUpdate;
  out.mConfirmedBy = { mSelf };
  if (watch->DirectSilence(aNow) <= mTiming.mFreshEvidence &&
      aRecord.mLastContact == watch->mHeard) {
    out.mState = HostState::Alive;
  } else if (watch->Silence(aNow) >= mTiming.mDeadAfter) {
    out.mState = HostState::Dead;
  } else if (watch->Silence(aNow) >= mTiming.mSuspectAfter) {
    out.mState = HostState::Suspect;
  } else {
    return std::nullopt;
  }
  return out;
}

} // namespace auburnmux::membership
