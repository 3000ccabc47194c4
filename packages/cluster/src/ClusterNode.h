#pragma once

#include "membership/Membership.h"
#include "peer/Peer.h"
#include "telemetry/Telemetry.h"

#include <functional>
#include <optional>
#include <vector>

namespace auburnmux::cluster {

/** \returns the state as it stands in logs and status pages, e.g. "alive". */
const char* HostStateName(membership::HostState aState);

/** Runs the membership protocol of this host. */
class ClusterNode
{
public:
  using ViewChanged = std::function<void()>;
  using VersionAnnounced =
    std::function<void(const http::Endpoint&, base::ConfigVersion)>;

  ClusterNode(http::Loop& aLoop, telemetry::Metrics& aMetrics,
              base::Random aRandom, membership::MembershipSettings aSettings,
              peer::Transport& aTransport, ViewChanged aViewChanged,
              VersionAnnounced aVersionAnnounced);

  /** Starts the ticks. */
  void Start();
  /** Takes a message of the membership protocol. */
  void OnMessage(const protocol::Envelope& aEnvelope);
  void OnPlatformList(const std::vector<membership::Candidate>& aList);
  void StartLeaving();
  void SetConfigVersion(base::ConfigVersion aVersion);
  /** Sends a message to all other live hosts. */
  void Broadcast(const protocol::Envelope& aEnvelope);

  /** \returns all known hosts in id order, this host included. */
  const std::vector<membership::HostView>& View() const { return mView; }
  /** \returns where the host receives messages; none when it is unknown. */
  std::optional<http::Endpoint> PeerEndpoint(const base::HostId& aHost) const;
  /** \returns where the host serves HTTP; none when it is unknown. */
  std::optional<http::Endpoint> HttpEndpoint(const base::HostId& aHost) const;
  /** \returns hosts that aren't dead nor leaving, this host included. */
  std::vector<membership::HostView> LiveHosts() const;
  /** \returns the live hosts of this host's data centre. */
  std::vector<base::HostId> LiveHostsHere() const;
  /** \returns whether this host is first of its data centre for \a aDuty, by
   * rendezvous order of the live hosts. */
  bool IsFirstHere(std::string_view aDuty) const;
  bool IsLeaving() const { return mIsLeaving; }
  /** \returns this host as it describes itself. */
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
  membership::Membership mMembership;
  std::vector<membership::HostView> mView;
  std::uint64_t mViewVersion = 0;
  bool mIsLeaving = false;
};

} // namespace auburnmux::cluster
