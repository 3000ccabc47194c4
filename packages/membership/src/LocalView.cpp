#include "membership/src/LocalView.h"

namespace auburnmux::membership {

using DecisionType = FailureDetector::DecisionType;

LocalView::LocalView(const HostIdentity& aSelf, const Timing& aTiming,
                     base::TimePoint aNow)
  : mSelf(aSelf.mId)
  , mDetector(aTiming, aSelf.mId)
  , mGossip(aNow)
{
  mTable.Apply(aNow, { aSelf, {}, HostState::Alive, {} });
}

const HostUpdate& LocalView::Self() const
{
  return mTable.Find(mSelf)->mUpdate;
}

std::optional<HostState> LocalView::StateOf(const base::HostId& aId) const
{
  const HostRecord* record = mTable.Find(aId);
  return record == nullptr ? std::nullopt
                           : std::optional(record->mUpdate.mState);
}

bool LocalView::OnSenderUpdate(base::TimePoint aNow, const HostUpdate& aSender,
                               Actions& aActions)
{
  const base::HostId& id = aSender.mHost.mId;
  if (id == mSelf || id.IsEmpty()) {
    return false;
  }
  Merge(aNow, aSender, id, Dissemination::Forward, aActions);
  HostRecord* record = mTable.Find(id);
  if (record == nullptr ||
      record->mUpdate.mHost.mIncarnation != aSender.mHost.mIncarnation) {
    return false;
  }
  if (record->mUpdate.mState != HostState::Dead) {
    record->mLastContact = aNow;
    if (const auto decision = mDetector.OnHeard(aNow, *record)) {
      ApplyDecision(aNow, { *decision, id, {} }, aActions);
    }
  }
  return true;
}

void LocalView::Merge(base::TimePoint aNow, const HostUpdate& aUpdate,
                      const base::HostId& aFrom, Dissemination aDissemination,
                      Actions& aActions)
{
  if (aUpdate.mHost.mId.IsEmpty() ||
      aUpdate.mConfirmedBy.size() > kMaxConfirmations) {
    return;
  }
  if (aUpdate.mHost.mId == mSelf) {
    MergeSelf(aNow, aUpdate, aActions);
  } else if (aUpdate.IsMeasurement()) {
    MergeMeasurement(aNow, aUpdate, aFrom, aActions);
  } else {
    Apply(aNow, aUpdate, aDissemination, aActions);
  }
}

void LocalView::MergeSelf(base::TimePoint aNow, const HostUpdate& aUpdate,
                          Actions& aActions)
{
  HostUpdate self = Self();
  if (aUpdate.mHost.mIncarnation > self.mHost.mIncarnation) {
    if (!mIsSuperseded) {
      mIsSuperseded = true;
      aActions.push_back(HostChanged{ aUpdate.mHost, HostState::Dead, {} });
    }
    return;
  }
  const bool isSuspectOrDead =
    aUpdate.mState == HostState::Suspect || aUpdate.mState == HostState::Dead;
  if (aUpdate.mHost.mIncarnation == self.mHost.mIncarnation &&
      isSuspectOrDead && !aUpdate.IsMeasurement() &&
      aUpdate.mRefutation >= self.mRefutation) {
    self.mRefutation = aUpdate.mRefutation + Refutation(1);
    mTable.Apply(aNow, self);
    Disseminate(mSelf);
  }
}

void LocalView::MergeMeasurement(base::TimePoint aNow,
                                 const HostUpdate& aUpdate,
                                 const base::HostId& aFrom, Actions& aActions)
{
  const HostRecord* record = mTable.Find(aUpdate.mHost.mId);
  const bool isCurrent =
    record != nullptr && record->mUpdate.mState != HostState::Dead &&
    record->mUpdate.mHost.mIncarnation == aUpdate.mHost.mIncarnation &&
    aUpdate.mConfirmedBy.front() == aFrom;
  if (!isCurrent) {
    return;
  }
  if (const auto decision =
        mDetector.OnMeasurement(aNow, aUpdate, aFrom, *record)) {
    ApplyDecision(aNow, { *decision, aUpdate.mHost.mId, {} }, aActions);
  }
}

void LocalView::Apply(base::TimePoint aNow, const HostUpdate& aUpdate,
                      Dissemination aDissemination, Actions& aActions)
{
  const std::optional<HostState> before = StateOf(aUpdate.mHost.mId);
  if (!mTable.Apply(aNow, aUpdate)) {
    return;
  }
  if (aUpdate.mState == HostState::Dead) {
    mDetector.OnDead(aUpdate.mHost.mId);
  }
  if (aDissemination == Dissemination::Forward) {
    Disseminate(aUpdate.mHost.mId);
  }
  if (before != aUpdate.mState) {
    aActions.push_back(
      HostChanged{ aUpdate.mHost, aUpdate.mState, aUpdate.mConfirmedBy });
  }
}

void LocalView::ApplyDecision(base::TimePoint aNow,
                              const FailureDetector::Decision& aDecision,
                              Actions& aActions)
{
  HostRecord* record = mTable.Find(aDecision.mSubject);
  if (record == nullptr) {
    return;
  }
  HostUpdate update = record->mUpdate;
  update.mConfirmedBy = aDecision.mObservers;
  if (aDecision.mType == DecisionType::Dead) {
    update.mState = HostState::Dead;
    // An update with a single name would be read as a measurement.
    if (update.IsMeasurement()) {
      update.mConfirmedBy.clear();
    }
    Apply(aNow, update, Dissemination::Forward, aActions);
  } else if (aDecision.mType == DecisionType::ConfirmSuspicion) {
    ConfirmSuspicion(aNow, *record, aActions);
  } else {
    mTable.SetLocalSuspicion(aNow, *record,
                             aDecision.mType == DecisionType::Suspect);
    aActions.push_back(
      HostChanged{ record->mUpdate.mHost, record->mUpdate.mState, {} });
  }
}

void LocalView::ConfirmSuspicion(base::TimePoint aNow,
                                 const HostRecord& aRecord, Actions& aActions)
{
  HostUpdate update = aRecord.mUpdate;
  update.mState = HostState::Suspect;
  update.mConfirmedBy.clear();
  Apply(aNow, update, Dissemination::Forward, aActions);
}

void LocalView::StartLeaving(base::TimePoint aNow, Actions& aActions)
{
  HostUpdate self = Self();
  self.mState = HostState::Leaving;
  Apply(aNow, self, Dissemination::Forward, aActions);
}

void LocalView::Disseminate(const base::HostId& aId)
{
  mQueue.Add(aId, mTable.All().size());
  mGossip.Add(aId);
}

} // namespace auburnmux::membership
