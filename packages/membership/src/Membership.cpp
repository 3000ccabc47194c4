#include "membership/src/Membership.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnmux::membership {

using Dissemination = LocalView::Dissemination;

namespace {

/** \returns whether a part of \a aState is newer than that of \a aKnown. */
bool HasNewer(const StateSummary& aState, const StateSummary& aKnown)
{
  const StateEra known = aKnown.mEra.value_or(StateEra(0));
  if (aState.mEra && *aState.mEra != known) {
    return *aState.mEra > known;
  }
  const StateRevisions& revisions = aState.mRevisions;
  for (std::size_t i = 0; i < revisions.size(); ++i) {
    if (i >= aKnown.mRevisions.size() || revisions[i] > aKnown.mRevisions[i]) {
      return true;
    }
  }
  return false;
}

} // namespace

Membership::Membership(const MembershipSettings& aSettings,
                       base::TimePoint aNow, base::Random aRandom)
  : mSettings(aSettings)
  , mRandom(aRandom)
  , mView(aSettings.mSelf, aSettings.mTiming, aNow)
  , mContactSelector(aSettings.mSelf.Peer(), aSettings.mSeeds)
  , mLastTick(aNow)
  , mNextContact(aNow)
{
  // A random phase spreads the heartbeats of different hosts over the interval.
  const auto interval = aSettings.mTiming.mHeartbeatInterval.count();
  mNextHeartbeat =
    aNow + base::Duration(static_cast<base::Duration::rep>(
             mRandom.Below(static_cast<std::uint64_t>(interval))));
  RefreshRing(aNow);
}

Actions Membership::OnTick(base::TimePoint aNow)
{
  Actions actions;
  if (aNow - mLastTick >= mSettings.mTiming.mPauseThreshold) {
    mView.Detector().OnPause(aNow);
  }
  mLastTick = aNow;
  CheckSubjects(aNow, actions);
  if (aNow >= mNextHeartbeat) {
    mNextHeartbeat =
      std::max(mNextHeartbeat + mSettings.mTiming.mHeartbeatInterval, aNow);
    SendHeartbeats(aNow, actions);
  }
  if (aNow >= mNextContact) {
    SendContact(aNow, actions);
  }
  SendTransfers(actions);
  SendGossip(aNow, actions);
  return actions;
}

Actions Membership::OnHeartbeat(base::TimePoint aNow,
                                const HeartbeatPayload& aPayload)
{
  Actions actions;
  const HostIdentity& from = aPayload.mSender.mHost;
  const std::optional<HostState> before = StateOf(from.mId);
  if (!Receive(aNow, aPayload, Dissemination::Forward, actions)) {
    return actions;
  }
  const bool wasUnknownOrDead = !before || *before == HostState::Dead;
  if (wasUnknownOrDead && StateOf(from.mId) != HostState::Dead) {
    mTransfers.Start(from.Peer());
  }
  if (aPayload.mNumber.Count() > 0) {
    actions.push_back(SendHeartbeatAck{ from.Peer(), MakeAck(aNow, aPayload) });
  }
  SendGossip(aNow, actions);
  return actions;
}

Actions Membership::OnHeartbeatAck(base::TimePoint aNow,
                                   const HeartbeatPayload& aPayload)
{
  Actions actions;
  const Refutation before = mView.Self().mRefutation;
  Receive(aNow, aPayload, Dissemination::LocalOnly, actions);
  if (mView.Self().mRefutation != before) {
    // The sender regarded this host as suspect or dead and may not receive its
    // gossip, so the refutation is sent to it directly.
    actions.push_back(SendHeartbeat{ aPayload.mSender.mHost.Peer(),
                                     MakePayload(HeartbeatNumber(0)) });
  }
  SendGossip(aNow, actions);
  return actions;
}

void Membership::OnPlatformList(const std::vector<Candidate>& aList)
{
  mContactSelector.SetCandidates(aList);
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

void Membership::SetState(StateSummary aState)
{
  assert(aState.mRevisions.size() <= kMaxStateParts);
  mState = std::move(aState);
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

bool Membership::Receive(base::TimePoint aNow, const HeartbeatPayload& aPayload,
                         Dissemination aDissemination, Actions& aActions)
{
  if (!mView.OnSenderUpdate(aNow, aPayload.mSender, aActions)) {
    return false;
  }
  const base::HostId& from = aPayload.mSender.mHost.mId;
  const std::size_t n = std::min(aPayload.mUpdates.size(), kMaxUpdates);
  for (std::size_t it = 0; it < n; ++it) {
    mView.Merge(aNow, aPayload.mUpdates[it], from, aDissemination, aActions);
  }
  if (aPayload.mConfigVersion > mConfigVersion) {
    aActions.push_back(
      ConfigAnnounced{ aPayload.mSender.mHost, aPayload.mConfigVersion });
  }
  if (HasNewer(aPayload.mState, mState)) {
    aActions.push_back(
      StateAnnounced{ aPayload.mSender.mHost, aPayload.mState });
  }
  return true;
}

void Membership::CheckSubjects(base::TimePoint aNow, Actions& aActions)
{
  for (const FailureDetector::Decision& it :
       mView.Detector().OnTick(aNow, mView.Table(), mRing)) {
    if (it.mType == FailureDetector::DecisionType::QueryObservers) {
      QueryObservers(aNow, it, aActions);
    } else {
      mView.ApplyDecision(aNow, it, aActions);
    }
  }
}

void Membership::QueryObservers(base::TimePoint aNow,
                                const FailureDetector::Decision& aDecision,
                                Actions& aActions)
{
  const HostRecord* subject = mView.Table().Find(aDecision.mSubject);
  const std::optional<HostUpdate> measured =
    mView.Detector().Measure(aNow, *subject);
  for (const base::HostId& id : aDecision.mObservers) {
    const HostRecord* observer = mView.Table().Find(id);
    if (observer == nullptr || !measured) {
      continue;
    }
    HeartbeatPayload payload = MakePayload(NextNumber());
    AddReceiverState(id, payload);
    payload.mUpdates.push_back(*measured);
    aActions.push_back(
      SendHeartbeat{ observer->mUpdate.mHost.Peer(), std::move(payload) });
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
    HeartbeatPayload payload = MakePayload(NextNumber());
    AddReceiverState(id, payload);
    FillFromQueue(payload);
    aActions.push_back(
      SendHeartbeat{ subject->mUpdate.mHost.Peer(), std::move(payload) });
  }
}

void Membership::SendContact(base::TimePoint aNow, Actions& aActions)
{
  mView.RemoveDead(aNow, mSettings.mTiming.mDeadRetention);
  const bool isJoining = mView.Table().MemberCount() <= 1;
  mNextContact = aNow + (isJoining ? mSettings.mTiming.mHeartbeatInterval
                                   : mSettings.mTiming.mContactInterval);
  const auto target = mContactSelector.Next(mView.Table(), Self().mId, mRandom);
  if (!target) {
    return;
  }
  HeartbeatPayload payload = MakePayload(NextNumber());
  AddReceiverState(target->mId, payload);
  FillFromQueue(payload);
  FillFromTable(payload);
  aActions.push_back(SendHeartbeat{ target->mPeer, std::move(payload) });
}

void Membership::SendTransfers(Actions& aActions)
{
  for (std::size_t it = 0; it < TableTransfers::kMessagesPerTick; ++it) {
    auto part = mTransfers.Next(mView.Table());
    if (!part) {
      return;
    }
    HeartbeatPayload payload = MakePayload(HeartbeatNumber(0));
    payload.mUpdates = std::move(part->mUpdates);
    aActions.push_back(SendHeartbeatAck{ part->mTo, std::move(payload) });
  }
}

void Membership::SendGossip(base::TimePoint aNow, Actions& aActions)
{
  std::vector<base::HostId> changed;
  if (!mView.Gossip().Start(aNow, changed)) {
    return;
  }
  HeartbeatPayload payload = MakePayload(HeartbeatNumber(0));
  for (const base::HostId& id : changed) {
    const HostRecord* record = mView.Table().Find(id);
    if (record != nullptr && !record->mIsLocalSuspicion && id != Self().mId) {
      payload.mUpdates.push_back(record->mUpdate);
    }
  }
  for (const base::HostId& id : mRing.GossipTargets()) {
    const HostRecord* target = mView.Table().Find(id);
    if (target != nullptr && target->mUpdate.mState != HostState::Dead) {
      aActions.push_back(
        SendHeartbeat{ target->mUpdate.mHost.Peer(), payload });
    }
  }
}

HeartbeatPayload Membership::MakeAck(base::TimePoint aNow,
                                     const HeartbeatPayload& aPayload)
{
  const base::HostId& to = aPayload.mSender.mHost.mId;
  HeartbeatPayload ack = MakePayload(aPayload.mNumber);
  AddReceiverState(to, ack);
  for (const HostUpdate& it : aPayload.mUpdates) {
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
  mView.Detector().UpdateSubjects(aNow, mRing);
}

HeartbeatPayload Membership::MakePayload(HeartbeatNumber aNumber) const
{
  return { mView.Self(), aNumber, mConfigVersion, {}, mState };
}

HeartbeatNumber Membership::NextNumber()
{
  mLastNumber += HeartbeatNumber(1);
  return mLastNumber;
}

void Membership::AddReceiverState(const base::HostId& aTo,
                                  HeartbeatPayload& aPayload) const
{
  const HostRecord* record = mView.Table().Find(aTo);
  if (record == nullptr || record->mIsLocalSuspicion) {
    return;
  }
  const HostState state = record->mUpdate.mState;
  if (state == HostState::Suspect || state == HostState::Dead) {
    aPayload.mUpdates.push_back(record->mUpdate);
  }
}

void Membership::FillFromQueue(HeartbeatPayload& aPayload)
{
  mView.Queue().Take(mView.Table(), kMaxUpdates - aPayload.mUpdates.size(),
                     aPayload.mUpdates);
}

void Membership::FillFromTable(HeartbeatPayload& aPayload)
{
  mLastSliceId = AppendSlice(mView.Table(), mLastSliceId, aPayload.mUpdates);
}

} // namespace auburnmux::membership
