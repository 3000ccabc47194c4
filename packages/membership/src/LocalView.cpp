#include "membership/src/LocalView.h"

namespace auburnmux::membership {

using Step = FailureDetector::Step;

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

bool LocalView::OnSender(base::TimePoint aNow, const HostUpdate& aSender,
                         Actions& aActions)
{
  const base::HostId& id = aSender.mHost.mId;
  if (id == mSelf || id.IsEmpty()) {
    return false;
  }
  Merge(aNow, aSender, id, Spreading::Forward, aActions);
  HostRecord* record = mTable.Find(id);
  if (record == nullptr ||
      record->mUpdate.mHost.mIncarnation != aSender.mHost.mIncarnation) {
    return false;
  }
  if (record->mUpdate.mState != HostState::Dead) {
    record->mLastContact = aNow;
    if (const auto step = mDetector.OnHeard(aNow, *record)) {
      ApplyStep(aNow, { *step, id, {} }, aActions);
    }
  }
  return true;
}

void LocalView::Merge(base::TimePoint aNow, const HostUpdate& aUpdate,
                      const base::HostId& aFrom, Spreading aSpreading,
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
    Apply(aNow, aUpdate, aSpreading, aActions);
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
  const bool isAccused =
    aUpdate.mState == HostState::Suspect || aUpdate.mState == HostState::Dead;
  if (aUpdate.mHost.mIncarnation == self.mHost.mIncarnation && isAccused &&
      !aUpdate.IsMeasurement() && aUpdate.mRefutation >= self.mRefutation) {
    self.mRefutation = aUpdate.mRefutation + Refutation(1);
    mTable.Apply(aNow, self);
    Spread(mSelf);
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
  if (const auto step =
        mDetector.OnMeasurement(aNow, aUpdate, aFrom, *record)) {
    ApplyStep(aNow, { *step, aUpdate.mHost.mId, {} }, aActions);
  }
}

void LocalView::Apply(base::TimePoint aNow, const HostUpdate& aUpdate,
                      Spreading aSpreading, Actions& aActions)
{
  const std::optional<HostState> before = StateOf(aUpdate.mHost.mId);
  if (!mTable.Apply(aNow, aUpdate)) {
    return;
  }
  if (aUpdate.mState == HostState::Dead) {
    mDetector.OnDead(aUpdate.mHost.mId);
  }
  if (aSpreading == Spreading::Forward) {
    Spread(aUpdate.mHost.mId);
  }
  if (before != aUpdate.mState) {
    aActions.push_back(
      HostChanged{ aUpdate.mHost, aUpdate.mState, aUpdate.mConfirmedBy });
  }
}

void LocalView::ApplyStep(base::TimePoint aNow,
                          const FailureDetector::Judgement& aJudgement,
                          Actions& aActions)
{
  HostRecord* record = mTable.Find(aJudgement.mSubject);
  if (record == nullptr) {
    return;
  }
  HostUpdate update = record->mUpdate;
  update.mConfirmedBy = aJudgement.mObservers;
  if (aJudgement.mStep == Step::Dead) {
    update.mState = HostState::Dead;
    // A single name would mark a measurement.
    if (update.IsMeasurement()) {
      update.mConfirmedBy.clear();
    }
    Apply(aNow, update, Spreading::Forward, aActions);
  } else if (aJudgement.mStep == Step::Agreed) {
    Agree(aNow, *record, aActions);
  } else {
    mTable.SetLocalSuspicion(aNow, *record, aJudgement.mStep == Step::Suspect);
    aActions.push_back(
      HostChanged{ record->mUpdate.mHost, record->mUpdate.mState, {} });
  }
}

void LocalView::Agree(base::TimePoint aNow, const HostRecord& aRecord,
                      Actions& aActions)
{
  HostUpdate update = aRecord.mUpdate;
  update.mState = HostState::Suspect;
  update.mConfirmedBy.clear();
  Apply(aNow, update, Spreading::Forward, aActions);
}

void LocalView::StartLeaving(base::TimePoint aNow, Actions& aActions)
{
  HostUpdate self = Self();
  self.mState = HostState::Leaving;
  Apply(aNow, self, Spreading::Forward, aActions);
}

void LocalView::Spread(const base::HostId& aId)
{
  mQueue.Add(aId, mTable.All().size());
  mGossip.Add(aId);
}

} // namespace auburnmux::membership
