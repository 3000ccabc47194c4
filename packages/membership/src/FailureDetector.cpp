#include "membership/src/FailureDetector.h"

#include <algorithm>

namespace auburnmux::membership {

namespace {

/** Maximum age of an observer's last message for it to count as reachable, and
 * of its dead report to count as a confirmation. */
constexpr base::Duration kReachableTimeout = std::chrono::seconds(1);
/** A temporary watch expires this long after the last reason for it: a
 * measurement of another observer, or an observer that doesn't answer. */
constexpr base::Duration kTemporaryWatchLifetime = std::chrono::seconds(5);

} // namespace

FailureDetector::FailureDetector(const Timing& aTiming, base::HostId aSelf)
  : mTiming(aTiming)
  , mSelf(std::move(aSelf))
{
}

void FailureDetector::UpdateSubjects(base::TimePoint aNow,
                                     const ObserverRing& aRing)
{
  mWatches.UpdateSubjects(aNow, aRing.Subjects());
}

std::vector<FailureDetector::Decision> FailureDetector::OnTick(
  base::TimePoint aNow, const HostTable& aTable, const ObserverRing& aRing)
{
  std::vector<Decision> out;
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
                            std::vector<Decision>& aOut)
{
  const base::HostId& id = aRecord.mUpdate.mHost.mId;
  Watch& watch = *mWatches.Find(id);
  if (watch.DirectSilence(aNow) < mTiming.mSuspectAfter) {
    return;
  }
  const base::Duration silence = watch.Silence(aNow);
  if (silence >= mTiming.mSuspectAfter &&
      aRecord.mUpdate.mState == HostState::Alive) {
    aOut.push_back({ DecisionType::Suspect, id, {} });
  }
  std::vector<base::HostId> others = aRing.ObserversOf(id);
  others.erase(std::remove(others.begin(), others.end(), mSelf), others.end());
  const bool isDeadReportDue =
    silence >= mTiming.mDeadAfter && !watch.mHasReportedDead;
  if (isDeadReportDue ||
      aNow - watch.mLastQuery >= mTiming.mHeartbeatInterval) {
    watch.mLastQuery = aNow;
    watch.mHasReportedDead = silence >= mTiming.mDeadAfter;
    aOut.push_back({ DecisionType::QueryObservers, id, others });
    // An observer that doesn't answer may have failed together with the host.
    for (const base::HostId& it : others) {
      if (!IsReachable(aNow, it, aTable)) {
        mWatches.AddTemporary(aNow, it, aNow + kTemporaryWatchLifetime);
      }
    }
  }
  if (silence < mTiming.mDeadAfter) {
    return;
  }
  std::vector<base::HostId> confirmations = Confirmations(aNow, watch);
  const bool isOnlyReachableObserver =
    std::none_of(others.begin(), others.end(), [&](const base::HostId& aId) {
      return IsReachable(aNow, aId, aTable);
    });
  if (isOnlyReachableObserver || !confirmations.empty()) {
    confirmations.insert(confirmations.begin(), mSelf);
    aOut.push_back({ DecisionType::Dead, id, std::move(confirmations) });
  }
}

std::vector<base::HostId> FailureDetector::Confirmations(
  base::TimePoint aNow, const Watch& aWatch) const
{
  std::vector<base::HostId> out;
  for (const auto& [observer, time] : aWatch.mDeadReports) {
    if (aNow - time <= kReachableTimeout) {
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
         aNow - record->mLastContact <= kReachableTimeout;
}

std::optional<FailureDetector::DecisionType> FailureDetector::OnHeard(
  base::TimePoint aNow, const HostRecord& aRecord)
{
  mWatches.OnHeard(aNow, aRecord.mUpdate.mHost.mId);
  if (aRecord.mIsLocalSuspicion) {
    return DecisionType::ClearSuspicion;
  }
  return std::nullopt;
}

std::optional<FailureDetector::DecisionType> FailureDetector::OnMeasurement(
  base::TimePoint aNow, const HostUpdate& aUpdate, const base::HostId& aFrom,
  const HostRecord& aRecord)
{
  const base::HostId& id = aUpdate.mHost.mId;
  if (aUpdate.mState == HostState::Alive) {
    mWatches.OnReportedAlive(aNow, id);
    return aRecord.mIsLocalSuspicion
             ? std::optional(DecisionType::ClearSuspicion)
             : std::nullopt;
  }
  mWatches.AddTemporary(aNow, id, aNow + kTemporaryWatchLifetime);
  const Watch* watch = mWatches.Find(id);
  if (watch == nullptr) {
    return std::nullopt;
  }
  if (aUpdate.mState == HostState::Dead) {
    mWatches.OnDeadReport(aNow, id, aFrom);
  }
  const bool isSilentHere = watch->Silence(aNow) >= mTiming.mSuspectAfter;
  const bool isUnconfirmed =
    aRecord.mUpdate.mState == HostState::Alive || aRecord.mIsLocalSuspicion;
  return isSilentHere && isUnconfirmed
           ? std::optional(DecisionType::ConfirmSuspicion)
           : std::nullopt;
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
  if (watch->DirectSilence(aNow) <= mTiming.mMaxEvidenceAge &&
      aRecord.mLastContact == watch->mLastHeard) {
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
