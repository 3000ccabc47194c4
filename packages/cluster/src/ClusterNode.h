#pragma once

#include "cluster/src/JoinedHosts.h"
#include "membership/Membership.h"
#include "peer/Peer.h"
#include "retries/Retries.h"
#include "telemetry/Telemetry.h"

#include <functional>
#include <optional>
#include <vector>

namespace auburnmux::cluster {

/** \returns the name of the state in logs, metrics and status pages, e.g.
 * "alive". */
const char* HostStateName(membership::HostState aState);

/** Connects the membership protocol of this host to the event loop, the peer
 * transport, the log and the metrics. */
class ClusterNode
{
public:
  using ViewChanged = std::function<void()>;
  using StateObserver = std::function<void(const membership::StateSummary&)>;
  using VersionAnnounced =
    std::function<void(const http::Endpoint&, base::ConfigVersion)>;

  ClusterNode(http::Loop& aLoop, telemetry::Metrics& aMetrics,
              base::Random aRandom, membership::MembershipSettings aSettings,
              peer::Transport& aTransport, ViewChanged aViewChanged,
              VersionAnnounced aVersionAnnounced);

  /** Starts the periodic ticks of the membership protocol. */
  void Start();
  /** Handles a message of the membership protocol. Ignores invalid payloads and
   * those whose sender differs from the envelope's. */
  void OnMessage(const protocol::Envelope& aEnvelope);
  void OnPlatformList(const std::vector<membership::Candidate>& aList);
  void StartLeaving();
  void SetConfigVersion(base::ConfigVersion aVersion);
  /** Announces the changes of the platform's state that this host has. */
  void SetState(membership::StateSummary aState);
  /** Calls \a aObserver when a peer announces changes that this host hasn't
   * announced. */
  void ObserveState(StateObserver aObserver);
  /** Sends a message to all hosts of LiveHosts() except this one. */
  void Broadcast(const protocol::Envelope& aEnvelope);
  /** Sends all of \a aRefused to the hosts that have joined since the last
   * call; to be called when the view has changed. */
  void InformJoinedHosts(const std::vector<retries::CrashRecord>& aRefused);

  /** \returns all known hosts in id order, this host included. */
  const std::vector<membership::HostView>& View() const { return mView; }
  /** \returns where the host receives peer messages, or nothing if it is
   * unknown. */
  std::optional<http::Endpoint> PeerEndpoint(const base::HostId& aHost) const;
  /** \returns where the host serves HTTP, or nothing if it is unknown. */
  std::optional<http::Endpoint> HttpEndpoint(const base::HostId& aHost) const;
  /** \returns the hosts that are neither dead nor leaving, and always this
   * host. */
  std::vector<membership::HostView> LiveHosts() const;
  /** \returns the live hosts of this host's data centre. */
  std::vector<base::HostId> LiveHostsInDataCentre() const;
  /** \returns whether rendezvous hashing assigns \a aTask to this host among
   * the live hosts of its data centre. */
  bool IsResponsibleFor(std::string_view aTask) const;
  bool IsLeaving() const { return mIsLeaving; }
  /** \returns the identity of this host. */
  const membership::HostIdentity& Self() const { return mSettings.mSelf; }

private:
  void Execute(const membership::Actions& aActions);
  void RefreshView();
  const membership::HostView* Find(const base::HostId& aHost) const;

  struct ActionVisitor;

  http::Loop& mLoop;
  telemetry::Metrics& mMetrics;
  membership::MembershipSettings mSettings;
  peer::Transport& mTransport;
  ViewChanged mViewChanged;
  VersionAnnounced mVersionAnnounced;
  StateObserver mStateObserver;
  membership::Membership mMembership;
  std::vector<membership::HostView> mView;
  std::uint64_t mViewVersion = 0;
  JoinedHosts mJoinedHosts;
  bool mIsLeaving = false;
};

} // namespace auburnmux::cluster
