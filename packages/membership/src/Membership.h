#pragma once

#include "membership/src/Actions.h"
#include "membership/src/Contacts.h"
#include "membership/src/LocalView.h"
#include "membership/src/ObserverRing.h"
#include "membership/src/Settings.h"
#include "membership/src/TableTransfers.h"

#include <optional>
#include <vector>

namespace auburnmux::membership {

/** A host in the view of this host. */
struct HostView
{
  HostIdentity mHost;
  HostState mState = HostState::Alive;
};

/**
 * Which hosts exist and which of them are alive, as this host sees it.
 * Every event returns the actions that the caller has to carry out in order.
 * \sa docs/membership.md
 */
class Membership
{
public:
  Membership(const MembershipSettings& aSettings, base::TimePoint aNow,
             base::Random aRandom);

  /** To be called every `Timing::mTick`. */
  Actions OnTick(base::TimePoint aNow);
  Actions OnHeartbeat(base::TimePoint aNow, const Beat& aBeat);
  Actions OnHeartbeatAck(base::TimePoint aNow, const Beat& aBeat);
  /** Takes the unknown hosts of the list as candidates to contact; no more. */
  void OnPlatformList(const std::vector<Candidate>& aList);
  /** Announces the planned stop of this host. It is irrevocable. */
  Actions StartLeaving(base::TimePoint aNow);
  /** Announces the version that this host now has in force. */
  Actions SetConfigVersion(base::TimePoint aNow, base::ConfigVersion aVersion);

  /** \returns all known hosts in id order, this host included. */
  std::vector<HostView> View() const;
  /** \returns the state of \a aId; none when it isn't known. */
  std::optional<HostState> StateOf(const base::HostId& aId) const;
  /** Changes whenever View() does. */
  std::uint64_t ViewVersion() const { return mView.Table().Version(); }
  const HostIdentity& Self() const { return mSettings.mSelf; }
  /** \returns the hosts that observe \a aId in this host's view. */
  std::vector<base::HostId> ObserversOf(const base::HostId& aId) const;

private:
  bool Receive(base::TimePoint aNow, const Beat& aBeat,
               LocalView::Spreading aSpreading, Actions& aActions);
  void CheckSubjects(base::TimePoint aNow, Actions& aActions);
  void Ask(base::TimePoint aNow, const FailureDetector::Judgement& aJudgement,
           Actions& aActions);
  void SendHeartbeats(base::TimePoint aNow, Actions& aActions);
  void SendContact(base::TimePoint aNow, Actions& aActions);
  void SendTransfers(Actions& aActions);
  void SendGossip(base::TimePoint aNow, Actions& aActions);
  Beat MakeAck(base::TimePoint aNow, const Beat& aBeat);
  void RefreshRing(base::TimePoint aNow);

  /** \returns a message that carries only what this host says of itself. */
  Beat MakeBeat(HeartbeatNumber aNumber) const;
  HeartbeatNumber NextNumber();
  /** Tells \a aTo that it isn't counted as alive, so that it refutes. */
  void AddReceiverState(const base::HostId& aTo, Beat& aBeat) const;
  void FillFromQueue(Beat& aBeat);
  void FillFromTable(Beat& aBeat);

  MembershipSettings mSettings;
  base::Random mRandom;
  LocalView mView;
  ObserverRing mRing;
  Contacts mContacts;
  TableTransfers mTransfers;
  base::ConfigVersion mConfigVersion;
  HeartbeatNumber mLastNumber;
  base::TimePoint mLastTick;
  base::TimePoint mNextHeartbeat;
  base::TimePoint mNextContact;
  std::uint64_t mRingVersion = 0;
  /** Last entry of the table that a contact carried. */
  base::HostId mSliceEnd;
};

} // namespace auburnmux::membership
