#include "membership/src/Membership.h"

#include <algorithm>

namespace auburnmux::membership {

using Spreading = LocalView::Spreading;

Membership::Membership(const MembershipSettings& aSettings,
                       base::TimePoint aNow, base::Random aRandom)
  : mSettings(aSettings)
  , mRandom(aRandom)
  , mView(aSettings.mSelf, aSettings.mTiming, aNow)
  , mContacts(aSettings.mSelf.Peer(), aSettings.mSeeds)
  , mLastTick(aNow)
  , mNextContact(aNow)
{
  // Rounds of different hosts are spread over the interval.
  const auto interval = aSettings.mTiming.mHeartbeat.count();
  mNextHeartbeat =
    aNow + base::Duration(static_cast<base::Duration::rep>(
             mRandom.Below(static_cast<std::uint64_t>(interval))));
  RefreshRing(aNow);
}

Actions Membership::OnTick(base::TimePoint aNow)
{
  Actions actions;
  if (aNow - mLastTick >= mSettings.mTiming.mLateTick) {
    mView.Detector().OnPause(aNow);
  }
  mLastTick = aNow;
  CheckSubjects(aNow, actions);
  if (aNow >= mNextHeartbeat) {
    mNextHeartbeat =
      std::max(mNextHeartbeat + mSettings.mTiming.mHeartbeat, aNow);
    SendHeartbeats(aNow, actions);
  }
  if (aNow >= mNextContact) {
    SendContact(aNow, actions);
  }
  SendTransfers(actions);
  SendGossip(aNow, actions);
  return actions;
}

Actions Membership::OnHeartbeat(base::TimePoint aNow, const Beat& aBeat)
{
  Actions actions;
  const HostIdentity& from = aBeat.mSender.mHost;
  const std::optional<HostState> before = StateOf(from.mId);
  if (!Receive(aNow, aBeat, Spreading::Forward, actions)) {
    return actions;
  }
  const bool wasLost = !before || *before == HostState::Dead;
  if (wasLost && StateOf(from.mId) != HostState::Dead) {
    mTransfers.Start(from.Peer());
  }
  if (aBeat.mNumber.Count() > 0) {
    actions.push_back(SendHeartbeatAck{ from.Peer(), MakeAck(aNow, aBeat) });
  }
  SendGossip(aNow, actions);
  return actions;
}

Actions Membership::OnHeartbeatAck(base::TimePoint aNow, const Beat& aBeat)
{
  Actions actions;
  const Refutation before = mView.Self().mRefutation;
  Receive(aNow, aBeat, Spreading::Keep, actions);
  if (mView.Self().mRefutation != before) {
    // The sender counts this host as lost, so it isn't reached by gossip.
    actions.push_back(SendHeartbeat{ aBeat.mSender.mHost.Peer(),
                                     MakeBeat(HeartbeatNumber(0)) });
  }
  SendGossip(aNow, actions);
  return actions;
}

void Membership::OnPlatformList(const std::vector<Candidate>& aList)
{
  mContacts.SetCandidates(aList);
}

Actions Membership::StartLeaving(base::TimePoint aNow)
{
  Actions actions;
  mView.StartLeaving(aNow, actions);
  SendGossip(aNow, actions);
  return actions;
}

Actions Membership::SetConfigVersion(base::TimePoint aNow,
                                     base::ConfigVersion aVersion)
{
  Actions actions;
  if (aVersion > mConfigVersion) {
    mConfigVersion = aVersion;
    mView.Gossip().RequestRound();
    SendGossip(aNow, actions);
  }
  return actions;
}

std::vector<HostView> Membership::View() const
{
  std::vector<HostView> out;
  out.reserve(mView.Table().All().size());
  for (const auto& [id, record] : mView.Table().All()) {
    out.push_back({ record.mUpdate.mHost, record.mUpdate.mState });
  }
  return out;
}

std::optional<HostState> Membership::StateOf(const base::HostId& aId) const
{
  return mView.StateOf(aId);
}

std::vector<base::HostId> Membership::ObserversOf(const base::HostId& aId) const
{
  return mRing.ObserversOf(aId);
}

bool Membership::Receive(base::TimePoint aNow, const Beat& aBeat,
                         Spreading aSpreading, Actions& aActions)
{
  if (!mView.OnSender(aNow, aBeat.mSender, aActions)) {
    return false;
  }
  const base::HostId& from = aBeat.mSender.mHost.mId;
  const std::size_t n = std::min(aBeat.mUpdates.size(), kMaxUpdates);
  for (std::size_t it = 0; it < n; ++it) {
    mView.Merge(aNow, aBeat.mUpdates[it], from, aSpreading, aActions);
  }
  if (aBeat.mConfigVersion > mConfigVersion) {
    aActions.push_back(
      ConfigAnnounced{ aBeat.mSender.mHost, aBeat.mConfigVersion });
  }
  return true;
}

void Membership::CheckSubjects(base::TimePoint aNow, Actions& aActions)
{
  for (const FailureDetector::Judgement& it :
       mView.Detector().OnTick(aNow, mView.Table(), mRing)) {
    if (it.mStep == FailureDetector::Step::Ask) {
      Ask(aNow, it, aActions);
    } else {
      mView.ApplyStep(aNow, it, aActions);
    }
  }
}

void Membership::Ask(base::TimePoint aNow,
                     const FailureDetector::Judgement& aJudgement,
                     Actions& aActions)
{
  const HostRecord* subject = mView.Table().Find(aJudgement.mSubject);
  const std::optional<HostUpdate> measured =
    mView.Detector().Measure(aNow, *subject);
  for (const base::HostId& id : aJudgement.mObservers) {
    const HostRecord* observer = mView.Table().Find(id);
    if (observer == nullptr || !measured) {
      continue;
    }
    Beat beat = MakeBeat(NextNumber());
    AddReceiverState(id, beat);
    beat.mUpdates.push_back(*measured);
    aActions.push_back(
      SendHeartbeat{ observer->mUpdate.mHost.Peer(), std::move(beat) });
  }
}

void Membership::SendHeartbeats(base::TimePoint aNow, Actions& aActions)
{
  RefreshRing(aNow);
  for (const base::HostId& id : mView.Detector().Subjects()) {
    const HostRecord* subject = mView.Table().Find(id);
    if (subject == nullptr) {
      continue;
    }
    Beat beat = MakeBeat(NextNumber());
    AddReceiverState(id, beat);
    FillFromQueue(beat);
    aActions.push_back(
      SendHeartbeat{ subject->mUpdate.mHost.Peer(), std::move(beat) });
  }
}

void Membership::SendContact(base::TimePoint aNow, Actions& aActions)
{
  mView.ForgetDead(aNow, mSettings.mTiming.mForgetDead);
  const bool isJoining = mView.Table().MemberCount() <= 1;
  mNextContact = aNow + (isJoining ? mSettings.mTiming.mHeartbeat
                                   : mSettings.mTiming.mContact);
  const auto target = mContacts.Next(mView.Table(), Self().mId, mRandom);
  if (!target) {
    return;
  }
  Beat beat = MakeBeat(NextNumber());
  AddReceiverState(target->mId, beat);
  FillFromQueue(beat);
  FillFromTable(beat);
  aActions.push_back(SendHeartbeat{ target->mPeer, std::move(beat) });
}

void Membership::SendTransfers(Actions& aActions)
{
  for (std::size_t it = 0; it < TableTransfers::kMessagesPerTick; ++it) {
    auto part = mTransfers.Next(mView.Table());
    if (!part) {
      return;
    }
    Beat beat = MakeBeat(HeartbeatNumber(0));
    beat.mUpdates = std::move(part->mUpdates);
    aActions.push_back(SendHeartbeatAck{ part->mTo, std::move(beat) });
  }
}

void Membership::SendGossip(base::TimePoint aNow, Actions& aActions)
{
  std::vector<base::HostId> news;
  if (!mView.Gossip().Start(aNow, news)) {
    return;
  }
  Beat beat = MakeBeat(HeartbeatNumber(0));
  for (const base::HostId& id : news) {
    const HostRecord* record = mView.Table().Find(id);
    if (record != nullptr && !record->mIsLocalSuspicion && id != Self().mId) {
      beat.mUpdates.push_back(record->mUpdate);
    }
  }
  for (const base::HostId& id : mRing.GossipTargets()) {
    const HostRecord* target = mView.Table().Find(id);
    if (target != nullptr && target->mUpdate.mState != HostState::Dead) {
      aActions.push_back(SendHeartbeat{ target->mUpdate.mHost.Peer(), beat });
    }
  }
}

Beat Membership::MakeAck(base::TimePoint aNow, const Beat& aBeat)
{
  const base::HostId& to = aBeat.mSender.mHost.mId;
  Beat ack = MakeBeat(aBeat.mNumber);
  AddReceiverState(to, ack);
  for (const HostUpdate& it : aBeat.mUpdates) {
    const HostRecord* record = mView.Table().Find(it.mHost.mId);
    if (!it.IsMeasurement() || record == nullptr ||
        ack.mUpdates.size() >= kMaxUpdates) {
      continue;
    }
    if (record->mUpdate.mState == HostState::Dead) {
      ack.mUpdates.push_back(record->mUpdate);
    } else if (auto measured = mView.Detector().Measure(aNow, *record)) {
      ack.mUpdates.push_back(std::move(*measured));
    }
  }
  FillFromQueue(ack);
  const std::vector<base::HostId>& observers = mRing.Observers();
  if (std::find(observers.begin(), observers.end(), to) == observers.end()) {
    FillFromTable(ack);
  }
  return ack;
}

void Membership::RefreshRing(base::TimePoint aNow)
{
  if (mRingVersion != mView.Table().MembersVersion()) {
    mRingVersion = mView.Table().MembersVersion();
    mRing.Rebuild(mView.Table(), Self().mId);
  }
  mView.Detector().Require(aNow, mRing);
}

Beat Membership::MakeBeat(HeartbeatNumber aNumber) const
{
  return { mView.Self(), aNumber, mConfigVersion, {} };
}

HeartbeatNumber Membership::NextNumber()
{
  mLastNumber += HeartbeatNumber(1);
  return mLastNumber;
}

void Membership::AddReceiverState(const base::HostId& aTo, Beat& aBeat) const
{
  const HostRecord* record = mView.Table().Find(aTo);
  if (record == nullptr || record->mIsLocalSuspicion) {
    return;
  }
  const HostState state = record->mUpdate.mState;
  if (state == HostState::Suspect || state == HostState::Dead) {
    aBeat.mUpdates.push_back(record->mUpdate);
  }
}

void Membership::FillFromQueue(Beat& aBeat)
{
  mView.Queue().Take(mView.Table(), kMaxUpdates - aBeat.mUpdates.size(),
                     aBeat.mUpdates);
}

void Membership::FillFromTable(Beat& aBeat)
{
  mSliceEnd = AppendSlice(mView.Table(), mSliceEnd, aBeat.mUpdates);
}

} // namespace auburnmux::membership
