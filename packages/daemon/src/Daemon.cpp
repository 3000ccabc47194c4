#include "daemon/src/Daemon.h"

#include "cluster/Cluster.h"
#include "daemon/src/AdminPages.h"
#include "daemon/src/ClaimService.h"
#include "daemon/src/ConfigService.h"
#include "daemon/src/GracefulStop.h"
#include "daemon/src/LookupService.h"
#include "daemon/src/PlatformClaimStore.h"
#include "daemon/src/Refusal.h"
#include "daemon/src/ServiceManager.h"
#include "daemon/src/SpillService.h"

#include <random>

namespace auburnmux::daemon {

namespace {

membership::MembershipSettings MakeMembership(const DaemonContext& aContext)
{
  const config::HostSettings& it = aContext.mSettings;
  membership::MembershipSettings settings;
  settings.mSelf = { it.mHost,      aContext.mIncarnation, it.mDataCentre,
                     it.mRegion,    it.mListen.mAddress,   it.mListen.mPort,
                     it.mPeer.mPort };
  for (const config::Seed& seed : it.mSeeds) {
    settings.mSeeds.push_back({ seed.mPeer.mAddress, seed.mPeer.mPort });
  }
  return settings;
}

constexpr base::Duration kLookupTickInterval = std::chrono::seconds(1);
constexpr base::Duration kHostListInterval = std::chrono::seconds(30);

// Number of upstreams that a request may crash before all hosts refuse it.
constexpr std::uint32_t kCrashThreshold = 2;

peer::TransportSettings MakeTransportSettings(
  const config::HostSettings& aSettings, base::Incarnation aIncarnation)
{
  peer::TransportSettings settings;
  settings.mSelf = aSettings.mHost;
  settings.mIncarnation = aIncarnation;
  settings.mListen = { aSettings.mPeer.mAddress, aSettings.mPeer.mPort };
  if (aSettings.mFleetKey) {
    settings.mKey = peer::FleetKey{ aSettings.mFleetKey->mPublic,
                                    aSettings.mFleetKey->mSecret };
  }
  return settings;
}

base::Incarnation CurrentIncarnation()
{
  return base::Incarnation(static_cast<std::uint64_t>(
    http::Loop::WallNow().time_since_epoch().count()));
}

} // namespace

struct Daemon::Impl
{
  config::HostSettings mSettings;
  http::Loop mLoop;
  http::Client mClient{ mLoop };
  http::Client mPlatformConnections{
    mLoop, objects::PlatformClient::ConnectionOptions()
  };
  base::Random mRandom{ std::random_device{}() };
  telemetry::Metrics mMetrics;
  telemetry::SpanLog mSpans;
  DaemonContext mContext;
  peer::Transport mTransport;
  objects::PlatformClient mPlatform;
  cluster::ClusterNode mCluster;
  ConfigService mConfig;
  LookupService mLookup;
  PlatformClaimStore mClaimStore;
  ClaimService mClaims;
  SpillService mSpill;
  crashes::CrashWatch mCrashes;
  ServiceManager mServiceManager;
  AdminPages mPages;
  http::Server mServer;
  GracefulStop mStop;

  Impl(const config::HostSettings& aSettings, FeatureFlags aFeatures);

  void Start();
  void OnRequest(const std::shared_ptr<http::ServerExchange>& aExchange);
  void OnEnvelope(const protocol::Envelope& aEnvelope);
  void OnViewChanged();
  void OnConfigChanged(const config::Snapshot& aSnapshot);
  void OnCrashReport(const protocol::Envelope& aEnvelope);
  void ReadHostList();
};

Daemon::Impl::Impl(const config::HostSettings& aSettings,
                   FeatureFlags aFeatures)
  : mSettings(aSettings)
  , mContext{ mLoop,
              mClient,
              mRandom,
              mMetrics,
              mSpans,
              mSettings,
              CurrentIncarnation(),
              aFeatures }
  , mTransport(mLoop, MakeTransportSettings(mSettings, mContext.mIncarnation),
               [this](const protocol::Envelope& aIt) { OnEnvelope(aIt); })
  , mPlatform(mLoop, mPlatformConnections,
              { mSettings.mPlatform.mAddress, mSettings.mPlatform.mPort })
  , mCluster(
      mContext.mLoop, mContext.mMetrics, base::Random(mContext.mRandom.Next()),
      MakeMembership(mContext), mTransport, [this] { OnViewChanged(); },
      [this](const http::Endpoint& aPeer, base::ConfigVersion aVersion) {
        mConfig.OnVersionAnnounced(aPeer, aVersion);
      })
  , mConfig(mContext, mTransport, mCluster, mPlatform,
            [this](const config::Snapshot& aIt) { OnConfigChanged(aIt); })
  , mLookup(mContext, mCluster)
  , mClaimStore(mPlatform)
  , mClaims(mContext, mTransport, mCluster, mClaimStore)
  , mSpill(
      mContext, mTransport, mCluster,
      [this] { return mServiceManager.Measure(); },
      [this](const base::ServiceId& aService) {
        if (ServiceRuntime* service = mServiceManager.Find(aService)) {
          service->SpillQueuedRequests();
        }
      })
  , mCrashes(
      mLoop, mClient, mMetrics,
      [this](const base::UpstreamId& aId) {
        return mServiceManager.FindStaying(aId);
      },
      kCrashThreshold)
  , mServiceManager(mContext, mCluster,
                    { mClaims, mSpill, mCrashes,
                      [this](const std::string& aAddress) {
                        return mLookup.ForeignRegion(aAddress);
                      } })
  , mPages({ mContext, mCluster, mConfig, mLookup, mServiceManager, mTransport,
             mPlatform })
  , mServer(mLoop, { mSettings.mListen.mAddress, mSettings.mListen.mPort },
            [this](const std::shared_ptr<http::ServerExchange>& aExchange) {
              OnRequest(aExchange);
            })
  , mStop(mContext, mCluster, mServiceManager, mServer,
          [this] { mLookup.OnViewChanged(); })
{
}

void Daemon::Impl::Start()
{
  mCrashes.ReportTo([this](const retries::CrashRecord& aRecord) {
    mCluster.Broadcast(cluster::ToCrashReport(mLoop.Now(), aRecord));
  });
  mCluster.Start();
  mConfig.Start();
  mClaims.Start();
  mServiceManager.Start();
  mSpill.Start();
  mStop.Start();
  mLookup.OnViewChanged();
  mLoop.Every(kLookupTickInterval, [this] { mLookup.OnTick(); });
  mLoop.Every(kHostListInterval, [this] { ReadHostList(); });
}

void Daemon::Impl::OnRequest(
  const std::shared_ptr<http::ServerExchange>& aExchange)
{
  if (mPages.Handle(*aExchange)) {
    return;
  }
  if (mConfig.State().InForce() == nullptr) {
    SendRefusal(*aExchange, { 503, base::WorkOutcome::NotRun,
                              "no configuration is in force yet",
                              std::chrono::seconds(1) });
    return;
  }
  mServiceManager.Accept(aExchange);
}

void Daemon::Impl::OnEnvelope(const protocol::Envelope& aEnvelope)
{
  switch (aEnvelope.body_case()) {
    case protocol::Envelope::kHeartbeat:
    case protocol::Envelope::kHeartbeatAck:
      mCluster.OnMessage(aEnvelope);
      return;
    case protocol::Envelope::kSnapshotRequest:
    case protocol::Envelope::kSnapshotReply:
      mConfig.OnMessage(aEnvelope);
      return;
    case protocol::Envelope::kClaimRequest:
    case protocol::Envelope::kClaimReply:
    case protocol::Envelope::kClaimOutcome:
    case protocol::Envelope::kClaimRelease:
    case protocol::Envelope::kClaimQuery:
    case protocol::Envelope::kClaimQueryReply:
      mClaims.OnMessage(aEnvelope);
      return;
    case protocol::Envelope::kGrantRequest:
    case protocol::Envelope::kGrantReply:
      mSpill.OnMessage(aEnvelope);
      return;
    case protocol::Envelope::kCrashReport:
      OnCrashReport(aEnvelope);
      return;
    default:
      return;
  }
}

void Daemon::Impl::OnViewChanged()
{
  mLookup.OnViewChanged();
  mSpill.OnViewChanged();
  mCluster.InformJoinedHosts(mCrashes.Refused());
  if (const config::Snapshot* snapshot = mConfig.State().InForce()) {
    mServiceManager.Configure(*snapshot);
  }
}

void Daemon::Impl::OnConfigChanged(const config::Snapshot& aSnapshot)
{
  mLookup.Configure(aSnapshot.mTopology);
  mSpill.Configure(aSnapshot);
  mStop.SetLookupLifetime(aSnapshot.mTopology.mLookupLifetime);
  mServiceManager.Configure(aSnapshot);
}

void Daemon::Impl::OnCrashReport(const protocol::Envelope& aEnvelope)
{
  if (const auto record =
        cluster::FromWire(mLoop.Now(), aEnvelope.crash_report())) {
    mCrashes.Merge(*record, base::HostId(aEnvelope.sender()));
  }
}

void Daemon::Impl::ReadHostList()
{
  if (!mCluster.IsResponsibleFor("host-list")) {
    return;
  }
  mPlatform.ListHosts(
    { objects::CallPurpose::HostList },
    [this](const objects::HostsResult& aResult) {
      const auto* hosts =
        std::get_if<std::vector<objects::ListedHost>>(&aResult);
      if (hosts == nullptr) {
        return;
      }
      std::vector<membership::Candidate> candidates;
      for (const objects::ListedHost& it : *hosts) {
        candidates.push_back(
          { it.mId, { it.mEndpoint.mAddress, it.mEndpoint.mPort } });
      }
      mCluster.OnPlatformList(candidates);
    });
}

Daemon::Daemon(const config::HostSettings& aSettings, FeatureFlags aFeatures)
  : mImpl(std::make_unique<Impl>(aSettings, aFeatures))
{
}

Daemon::~Daemon() = default;

int Daemon::Run()
{
  if (!mImpl->mServer.IsListening() || !mImpl->mTransport.IsListening()) {
    base::LogWarning(base::LogLine("start_failed")
                       .With("reason", "an address can't be bound"));
    return 1;
  }
  base::LogInfo(base::LogLine("start")
                  .With("host", mImpl->mSettings.mHost)
                  .With("data_centre", mImpl->mSettings.mDataCentre)
                  .With("listen", mImpl->mSettings.mListen.Text())
                  .With("incarnation", mImpl->mContext.mIncarnation));
  mImpl->Start();
  mImpl->mLoop.Run();
  base::LogInfo(base::LogLine("stop").With("host", mImpl->mSettings.mHost));
  return 0;
}

} // namespace auburnmux::daemon
