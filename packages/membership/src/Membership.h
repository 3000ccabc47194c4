#pragma once

#include "membership/src/Actions.h"
#include "membership/src/ContactSelector.h"
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
 * SWIM-style gossip membership: the known hosts and their states, as seen by
 * this host. It does no I/O: each event handler returns the actions that the
 * calling code must carry out, in order.
 * \sa docs/membership.md
 */
class Membership
{
public:
  Membership(const MembershipSettings& aSettings, base::TimePoint aNow,
             base::Random aRandom);

  /** To be called every `Timing::mTickInterval`. */
  Actions OnTick(base::TimePoint aNow);
  Actions OnHeartbeat(base::TimePoint aNow, const HeartbeatPayload& aPayload);
  Actions OnHeartbeatAck(base::TimePoint aNow,
                         const HeartbeatPayload& aPayload);
  /**
   * Replaces the candidates to contact by the hosts of the platform's list.
   * The list changes no host's state, and its entries for known hosts have
   * no effect.
   */
  void OnPlatformList(const std::vector<Candidate>& aList);
  /** Announces the planned stop of this host. It can't be undone. */
  Actions StartLeaving(base::TimePoint aNow);
  /** Announces the configuration version now in force at this host. */
  Actions SetConfigVersion(base::TimePoint aNow, base::ConfigVersion aVersion);
  /** Sets the changes that the heartbeats of this host announce, of at most
   * kMaxStateParts parts. */
  void SetState(StateSummary aState);

  /** \returns all known hosts in id order, this host included. */
  std::vector<HostView> View() const;
  /** \returns the state of \a aId, or nothing if the host is unknown. */
  std::optional<HostState> StateOf(const base::HostId& aId) const;
  /** \returns a number that increases whenever View() changes. */
  std::uint64_t ViewVersion() const { return mView.Table().Version(); }
  const HostIdentity& Self() const { return mSettings.mSelf; }
  /** \returns the observers of \a aId according to this host's view. */
  std::vector<base::HostId> ObserversOf(const base::HostId& aId) const;

private:
  bool Receive(base::TimePoint aNow, const HeartbeatPayload& aPayload,
               LocalView::Dissemination aDissemination, Actions& aActions);
  void CheckSubjects(base::TimePoint aNow, Actions& aActions);
  void QueryObservers(base::TimePoint aNow,
                      const FailureDetector::Decision& aDecision,
                      Actions& aActions);
  void SendHeartbeats(base::TimePoint aNow, Actions& aActions);
  void SendContact(base::TimePoint aNow, Actions& aActions);
  void SendTransfers(Actions& aActions);
  void SendGossip(base::TimePoint aNow, Actions& aActions);
  HeartbeatPayload MakeAck(base::TimePoint aNow,
                           const HeartbeatPayload& aPayload);
  void RefreshRing(base::TimePoint aNow);

  /** \returns a payload without updates about other hosts. */
  HeartbeatPayload MakePayload(HeartbeatNumber aNumber) const;
  HeartbeatNumber NextNumber();
  /** Adds the state of \a aTo if it is Suspect or Dead, so that \a aTo can
   * refute it. */
  void AddReceiverState(const base::HostId& aTo,
                        HeartbeatPayload& aPayload) const;
  void FillFromQueue(HeartbeatPayload& aPayload);
  void FillFromTable(HeartbeatPayload& aPayload);

  MembershipSettings mSettings;
  base::Random mRandom;
  LocalView mView;
  ObserverRing mRing;
  ContactSelector mContactSelector;
  TableTransfers mTransfers;
  base::ConfigVersion mConfigVersion;
  StateSummary mState;
  HeartbeatNumber mLastNumber;
  base::TimePoint mLastTick;
  base::TimePoint mNextHeartbeat;
  base::TimePoint mNextContact;
  std::uint64_t mRingVersion = 0;
  /** Id of the last table entry sent by FillFromTable(); empty at the end. */
  base::HostId mLastSliceId;
};

} // namespace auburnmux::membership
