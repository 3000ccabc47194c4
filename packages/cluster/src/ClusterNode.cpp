#include "cluster/src/ClusterNode.h"

#include "cluster/src/CrashReportCodec.h"
#include "cluster/src/HeartbeatCodec.h"

#include <utility>

namespace auburnmux::cluster {

namespace {

/** \returns whether the payload and the envelope name the same sender. */
bool IsFrom(const membership::HeartbeatPayload& aPayload,
            const protocol::Envelope& aEnvelope)
{
  const membership::HostIdentity& host = aPayload.mSender.mHost;
  return host.mId.Text() == aEnvelope.sender() &&
         host.mIncarnation.Count() == aEnvelope.sender_incarnation();
}

http::Endpoint ToEndpoint(const membership::PeerAddress& aAddress)
{
  return { aAddress.mAddress, aAddress.mPort };
}

} // namespace

const char* HostStateName(membership::HostState aState)
{
  switch (aState) {
    case membership::HostState::Alive:
      return "alive";
    case membership::HostState::Suspect:
      return "suspect";
    case membership::HostState::Leaving:
      return "leaving";
    case membership::HostState::Dead:
      return "dead";
  }
  return "unknown";
}

struct ClusterNode::ActionVisitor
{
  ClusterNode& mNode;

  void operator()(const membership::SendHeartbeat& aAction) const
  {
    mNode.mTransport.Send(ToEndpoint(aAction.mTo),
                          ToHeartbeat(aAction.mPayload));
  }
  void operator()(const membership::SendHeartbeatAck& aAction) const
  {
    mNode.mTransport.Send(ToEndpoint(aAction.mTo),
                          ToHeartbeatAck(aAction.mPayload));
  }
  void operator()(const membership::HostChanged& aAction) const
  {
    base::LogLine line("host_changed");
    line.With("host", aAction.mHost.mId)
      .With("state", HostStateName(aAction.mState))
      .With("incarnation", aAction.mHost.mIncarnation);
    for (const base::HostId& it : aAction.mConfirmedBy) {
      line.With("confirmed_by", it);
    }
    base::LogInfo(line);
    const bool isReplaced = aAction.mHost.mId == mNode.mSettings.mSelf.mId &&
                            aAction.mState == membership::HostState::Dead;
    if (isReplaced) {
      base::LogWarning(
        base::LogLine("replaced")
          .With("reason", "a newer process uses this host's id"));
      mNode.mLoop.Stop();
    }
    mNode.mMetrics.Count("auburnmux_host_changes_total",
                         { { "state", HostStateName(aAction.mState) } });
  }
  void operator()(const membership::ConfigAnnounced& aAction) const
  {
    mNode.mVersionAnnounced(ToEndpoint(aAction.mHost.Peer()), aAction.mVersion);
  }
  void operator()(const membership::StateAnnounced& aAction) const
  {
    if (mNode.mStateObserver) {
      mNode.mStateObserver(aAction.mState);
    }
  }
};

ClusterNode::ClusterNode(http::Loop& aLoop, telemetry::Metrics& aMetrics,
                         base::Random aRandom,
                         membership::MembershipSettings aSettings,
                         peer::Transport& aTransport, ViewChanged aViewChanged,
                         VersionAnnounced aVersionAnnounced)
  : mLoop(aLoop)
  , mMetrics(aMetrics)
  , mSettings(std::move(aSettings))
  , mTransport(aTransport)
  , mViewChanged(std::move(aViewChanged))
  , mVersionAnnounced(std::move(aVersionAnnounced))
  , mMembership(mSettings, aLoop.Now(), aRandom)
  , mJoinedHosts(mSettings.mSelf)
{
  mView = mMembership.View();
}

void ClusterNode::Start()
{
  mLoop.Every(mSettings.mTiming.mTickInterval,
              [this] { Execute(mMembership.OnTick(mLoop.Now())); });
}

void ClusterNode::OnMessage(const protocol::Envelope& aEnvelope)
{
  const base::TimePoint now = mLoop.Now();
  if (aEnvelope.has_heartbeat()) {
    const auto payload = FromWire(aEnvelope.heartbeat());
    if (payload && IsFrom(*payload, aEnvelope)) {
      Execute(mMembership.OnHeartbeat(now, *payload));
    }
  } else if (aEnvelope.has_heartbeat_ack()) {
    const auto payload = FromWire(aEnvelope.heartbeat_ack());
    if (payload && IsFrom(*payload, aEnvelope)) {
      Execute(mMembership.OnHeartbeatAck(now, *payload));
    }
  }
}

void ClusterNode::OnPlatformList(
  const std::vector<membership::Candidate>& aList)
{
  mMembership.OnPlatformList(aList);
}

void ClusterNode::StartLeaving()
{
  mIsLeaving = true;
  Execute(mMembership.StartLeaving(mLoop.Now()));
}

void ClusterNode::SetConfigVersion(base::ConfigVersion aVersion)
{
  Execute(mMembership.SetConfigVersion(mLoop.Now(), aVersion));
}

void ClusterNode::SetState(membership::StateSummary aState)
{
  mMembership.SetState(std::move(aState));
}

void ClusterNode::ObserveState(StateObserver aObserver)
{
  mStateObserver = std::move(aObserver);
}

void ClusterNode::Broadcast(const protocol::Envelope& aEnvelope)
{
  for (const membership::HostView& it : LiveHosts()) {
    if (it.mHost.mId != mSettings.mSelf.mId) {
      mTransport.Send(ToEndpoint(it.mHost.Peer()), aEnvelope);
    }
  }
}

void ClusterNode::InformJoinedHosts(
  const std::vector<retries::CrashRecord>& aRefused)
{
  for (const membership::HostIdentity& host :
       mJoinedHosts.OnView(LiveHosts())) {
    for (const retries::CrashRecord& it : aRefused) {
      mTransport.Send(ToEndpoint(host.Peer()), ToCrashReport(mLoop.Now(), it));
    }
  }
}

void ClusterNode::Execute(const membership::Actions& aActions)
{
  for (const membership::Action& it : aActions) {
    std::visit(ActionVisitor{ *this }, it);
  }
  RefreshView();
}

void ClusterNode::RefreshView()
{
  const std::uint64_t version = mMembership.ViewVersion();
  if (std::exchange(mViewVersion, version) != version) {
    mView = mMembership.View();
    mViewChanged();
  }
}

const membership::HostView* ClusterNode::Find(const base::HostId& aHost) const
{
  for (const membership::HostView& it : mView) {
    if (it.mHost.mId == aHost) {
      return &it;
    }
  }
  return nullptr;
}

std::optional<http::Endpoint> ClusterNode::PeerEndpoint(
  const base::HostId& aHost) const
{
  const membership::HostView* host = Find(aHost);
  return host == nullptr ? std::nullopt
                         : std::optional(ToEndpoint(host->mHost.Peer()));
}

std::optional<http::Endpoint> ClusterNode::HttpEndpoint(
  const base::HostId& aHost) const
{
  const membership::HostView* host = Find(aHost);
  if (host == nullptr) {
    return std::nullopt;
  }
  return http::Endpoint{ host->mHost.mAddress, host->mHost.mHttpPort };
}

std::vector<membership::HostView> ClusterNode::LiveHosts() const
{
  std::vector<membership::HostView> live;
  for (const membership::HostView& it : mView) {
    const bool isDeadOrLeaving = it.mState == membership::HostState::Dead ||
                                 it.mState == membership::HostState::Leaving;
    if (!isDeadOrLeaving || it.mHost.mId == mSettings.mSelf.mId) {
      live.push_back(it);
    }
  }
  return live;
}

std::vector<base::HostId> ClusterNode::LiveHostsInDataCentre() const
{
  std::vector<base::HostId> hosts;
  for (const membership::HostView& it : LiveHosts()) {
    if (it.mHost.mDataCentre == mSettings.mSelf.mDataCentre) {
      hosts.push_back(it.mHost.mId);
    }
  }
  return hosts;
}

bool ClusterNode::IsResponsibleFor(std::string_view aTask) const
{
  const std::uint64_t task = base::Hash64(aTask);
  const auto rank = [task](const base::HostId& aHost) {
    return base::CombineHash(base::Hash64(aHost.Text()), task);
  };
  const std::uint64_t own = rank(mSettings.mSelf.mId);
  for (const base::HostId& it : LiveHostsInDataCentre()) {
    if (rank(it) > own) {
      return false;
    }
  }
  return true;
}

} // namespace auburnmux::cluster
