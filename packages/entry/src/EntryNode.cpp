#include "entry/src/EntryNode.h"

#include "cluster/Cluster.h"
#include "entry/src/Directory.h"
#include "entry/src/HealthChecks.h"
#include "entry/src/QuotaNode.h"
#include "entry/src/RequestForwarder.h"
#include "entry/src/Services.h"
#include "entry/src/StopPlan.h"
#include "peer/Peer.h"
#include "upstreams/Upstreams.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <utility>

namespace auburnmux::entry {

namespace {

/** Interval at which due health checks, expired upstreams and the shutdown are
 * processed. */
constexpr base::Duration kTick = std::chrono::milliseconds(100);

/** Event loop lateness from which it is logged: a fifth of the time in which
 * work for callers that have left has to end. */
constexpr base::Duration kLoopLatenessThreshold =
  std::chrono::milliseconds(100);

/** Interval at which the hosts that share cluster-wide limits are counted. */
constexpr base::Duration kHostCountInterval = std::chrono::seconds(1);

/** Interval at which a host that has a newer configuration is reported until
 * this one has it, too. */
constexpr base::Duration kVersionReportInterval =
  std::chrono::milliseconds(500);

http::ClientOptions UpstreamClientOptions(
  const EntrySettings& aSettings,
  std::shared_ptr<buffering::HeldBytes> aAccount)
{
  http::ClientOptions options;
  options.mAccount = std::move(aAccount);
  options.mSource = aSettings.mFront.mAddress;
  // Upstreams state how long they keep idle connections. For those that don't,
  // mDefaultMaxIdle is the time for which most keep them at least.
  options.mMaxIdle = std::chrono::seconds(30);
  options.mDefaultMaxIdle = std::chrono::seconds(5);
  options.mUnacknowledgedTimeout = std::chrono::milliseconds(2000);
  options.mProbeAfter = std::chrono::seconds(1);
  return options;
}

membership::MembershipSettings MakeMembershipSettings(
  const EntrySettings& aSettings)
{
  membership::MembershipSettings settings;
  settings.mSelf = { aSettings.mHost,           base::Incarnation(1),
                     aSettings.mDataCentre,     aSettings.mRegion,
                     aSettings.mFront.mAddress, aSettings.mFront.mPort,
                     aSettings.mPeer.mPort,     aSettings.mCapacity };
  for (const http::Endpoint& it : aSettings.mSeeds) {
    settings.mSeeds.push_back({ it.mAddress, it.mPort });
  }
  settings.mTiming.mHeartbeatInterval = std::chrono::milliseconds(500);
  settings.mTiming.mTickInterval = kTick;
  settings.mTiming.mSuspectAfter = std::chrono::milliseconds(1600);
  settings.mTiming.mDeadAfter = std::chrono::milliseconds(3200);
  settings.mTiming.mMaxEvidenceAge = std::chrono::milliseconds(1000);
  settings.mTiming.mPauseThreshold = std::chrono::milliseconds(800);
  return settings;
}

std::set<base::DataCentreId> CentresOf(const EntrySettings& aSettings)
{
  std::set<base::DataCentreId> centres;
  for (const auto& [centre, region] : aSettings.mRegions) {
    centres.insert(centre);
  }
  return centres;
}

/** \returns the quotas of those customers that have one. */
quotas::QuotaTable QuotasOf(const routing::Configuration& aConfiguration)
{
  quotas::QuotaTable table;
  if (aConfiguration.mCustomers) {
    for (const auto& it : aConfiguration.mCustomers->Customers()) {
      if (it->mQuota.IsLimited()) {
        table[HashCustomer(it->mId.Text())] = { it->mQuota.mRate,
                                                it->mQuota.mBurst };
      }
    }
  }
  return table;
}

std::uint64_t RandomSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

struct EntryNode::Impl
{
  Impl(http::Loop& aLoop, EntrySettings aSettings,
       const Translator& aTranslator);

  /** Records by how much the event loop is late. */
  void RecordLoopLateness();
  void OnTick();
  void BeginStop(std::function<void()> aDone);
  /** Takes the steps of the stop plan that are due. */
  void ContinueStop();
  /** Closes idle clients while the host holds as much as it may, and updates
   * what is in flight to upstreams. */
  void BoundHeldBytes();
  /** Logs when the host's bound is reached, and when it holds little again. */
  void LogHeldBytes();
  void OnRequest(const std::shared_ptr<http::ServerExchange>& aExchange);
  /** \returns whether a request may run while earlier ones of its connection
   * are unanswered. Clients send those behind a closed connection again,
   * whatever their kind. */
  bool MayRunEarly(const http::RequestHead& aHead);
  void OnMessage(const protocol::Envelope& aEnvelope);
  void OnLeavingAnnounced(const base::UpstreamId& aUpstream,
                          base::TimePoint aSentAt);
  void OnVersionAnnounced(const http::Endpoint& aPeer,
                          base::ConfigVersion aVersion);
  /** Reports the host with a newer configuration while this one is behind. */
  void ReportNewerVersion();
  void OnViewChanged();
  void UpdateHostCounts();
  /** \returns the hosts that may be sending to upstreams; one for each data
   * centre of which this host doesn't know any, as it may just have started. */
  std::vector<placing::LimitSharer> LimitSharers() const;
  void Apply(const upstreams::UpstreamEvents& aEvents);
  void JoinWhenReady();
  base::Duration LongestColdTime() const;
  bool IsWorkLeft() const;
  void CloseReader(const http::SlowReader& aReader);

  struct EventVisitor;

  http::Loop& mLoop;
  EntrySettings mSettings;
  base::Random mRandom{ RandomSeed() };
  telemetry::Metrics mMetrics;
  std::shared_ptr<buffering::HeldBytes> mHeld =
    std::make_shared<buffering::HeldBytes>();
  http::Client mClient;
  Services mServices;
  upstreams::UpstreamBook mUpstreamBook;
  HealthChecks mChecks;
  peer::Transport mTransport;
  cluster::ClusterNode mCluster;
  /** Outlives the requests, which end with mFront. */
  QuotaNode mQuotas;
  http::Server mFront;
  membership::ActiveHostCounter mActiveHosts;
  http::Loop::TimerId mTick;
  http::Loop::TimerId mCountTimer;
  /** Whether the host's bound was reached and bounds are still reduced. */
  bool mIsFull = false;
  bool mHasJoined = false;
  bool mHasUpstreams = false;
  /** When the configuration came into force here. */
  base::TimePoint mConfigSince;
  // Set once the host was told to stop. Settings that are read later don't
  // change the plan.
  std::optional<StopPlan> mStopPlan;
  std::optional<base::TimePoint> mStopStart;
  std::vector<http::Loop::TimerId> mStopTimers;
  /** Unset again once it was called. */
  std::function<void()> mOnStopped;
  /** The host that last announced a newer configuration than the own one. */
  http::Endpoint mNewerVersionAt;
  base::TimePoint mNextVersionReport;
  std::function<void(const std::string&)> mNewerVersionObserver;
};

struct EntryNode::Impl::EventVisitor
{
  Impl& mNode;

  void operator()(const upstreams::UpstreamAppeared& aEvent) const
  {
    const upstreams::UpstreamRecord& it = aEvent.mRecord;
    mNode.mServices.mEndpoints[it.mId] = { it.mAddress, it.mPort };
    const auto region = mNode.mSettings.mRegions.find(it.mDataCentre);
    placing::UpstreamSpec spec{ it.mId, it.mService, it.mDataCentre,
                                region == mNode.mSettings.mRegions.end()
                                  ? base::RegionId()
                                  : region->second,
                                it.mSlots };
    spec.mColdRate = mNode.mServices.mRoutes.Policy(it.mService).mColdRate;
    mNode.mServices.mPlacement.Add(mNode.mLoop.Now(), spec, it.mColdRemaining);
    Log("upstream_appeared", it);
  }
  void operator()(const upstreams::UpstreamChanged& aEvent) const
  {
    mNode.mServices.mPlacement.SetCold(mNode.mLoop.Now(), aEvent.mRecord.mId,
                                       aEvent.mRecord.mColdRemaining);
    Log("upstream_changed", aEvent.mRecord);
  }
  void operator()(const upstreams::UpstreamLeaving& aEvent) const
  {
    mNode.mServices.mPlacement.SetLeaving(mNode.mLoop.Now(), aEvent.mId);
    base::LogInfo(base::LogLine("upstream_leaving").With("id", aEvent.mId));
  }
  void operator()(const upstreams::UpstreamGone& aEvent) const
  {
    const auto endpoint = mNode.mServices.mEndpoints.find(aEvent.mId);
    if (endpoint != mNode.mServices.mEndpoints.end()) {
      mNode.mClient.CloseIdle(endpoint->second);
      mNode.mServices.mEndpoints.erase(endpoint);
    }
    mNode.mServices.mPlacement.Remove(mNode.mLoop.Now(), aEvent.mId);
    base::LogInfo(base::LogLine("upstream_gone").With("id", aEvent.mId));
  }

  static void Log(std::string_view aEvent,
                  const upstreams::UpstreamRecord& aRecord)
  {
    base::LogInfo(
      base::LogLine(aEvent)
        .With("id", aRecord.mId)
        .With("service", aRecord.mService)
        .With("address",
              aRecord.mAddress + ':' + std::to_string(aRecord.mPort.Count()))
        .With("data_centre", aRecord.mDataCentre)
        .With("slots", aRecord.mSlots)
        .With("cold_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                           aRecord.mColdRemaining)
                           .count()));
  }
};

EntryNode::Impl::Impl(http::Loop& aLoop, EntrySettings aSettings,
                      const Translator& aTranslator)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mClient(aLoop, UpstreamClientOptions(mSettings, mHeld))
  , mServices{ aLoop,
               mClient,
               mMetrics,
               aTranslator,
               mSettings,
               mHeld,
               buffering::HoldPolicy(mSettings.mHold),
               {},
               {},
               {},
               placing::Placement(mSettings.mPlacing, mSettings.mDataCentre,
                                  mSettings.mRegion) }
  , mChecks(mServices)
  , mTransport(
      aLoop,
      { mSettings.mHost, base::Incarnation(1), mSettings.mPeer, std::nullopt },
      [this](const protocol::Envelope& aIt) { OnMessage(aIt); })
  , mCluster(
      aLoop, mMetrics, base::Random(mRandom.Next()),
      MakeMembershipSettings(mSettings), mTransport,
      [this] { OnViewChanged(); },
      [this](const http::Endpoint& aPeer, base::ConfigVersion aVersion) {
        OnVersionAnnounced(aPeer, aVersion);
      })
  , mQuotas({ aLoop, mMetrics, mTransport, mCluster, mActiveHosts },
            CentresOf(mSettings), mSettings.mQuotas, mRandom.Next())
  , mFront(aLoop, mSettings.mFront,
           [this](const std::shared_ptr<http::ServerExchange>& aExchange) {
             OnRequest(aExchange);
           },
           nullptr, { [this](const http::RequestHead& aHead) {
             return MayRunEarly(aHead);
           } })
{
  mServices.mQuotas = &mQuotas;
  mFront.CountHeldBytes(mHeld);
  mTick = mLoop.Every(kTick, [this] { OnTick(); });
  mCountTimer = mLoop.Every(kHostCountInterval, [this] { UpdateHostCounts(); });
  mServices.mReportLeaving = [this](const base::UpstreamId& aUpstream,
                                    base::TimePoint aSentAt) {
    OnLeavingAnnounced(aUpstream, aSentAt);
  };
  mServices.mCrashes.ReportTo([this](const retries::CrashRecord& aRecord) {
    mCluster.Broadcast(cluster::ToCrashReport(mLoop.Now(), aRecord));
  });
}

void EntryNode::Impl::OnRequest(
  const std::shared_ptr<http::ServerExchange>& aExchange)
{
  std::make_shared<RequestForwarder>(mServices, aExchange)->Start();
}

bool EntryNode::Impl::MayRunEarly(const http::RequestHead& aHead)
{
  const auto route = mServices.mRoutes.Find(
    aHead.mHeaders.Find("host").value_or(std::string_view()), aHead.mPath);
  const bool mayRun = route && route->mKind == routing::RequestKind::Idempotent;
  mMetrics.Count("auburnmux_pipelined_requests_total",
                 { { "start", mayRun ? "early" : "in_turn" } });
  return mayRun;
}

void EntryNode::Impl::OnLeavingAnnounced(const base::UpstreamId& aUpstream,
                                         base::TimePoint aSentAt)
{
  const upstreams::UpstreamEvents events =
    mUpstreamBook.OnLeavingAnnounced(aSentAt, aUpstream);
  if (events.empty()) {
    return;
  }
  base::LogInfo(base::LogLine("leaving_announced").With("upstream", aUpstream));
  mMetrics.Count("auburnmux_leaving_announcements_total", {});
  Apply(events);
}

void EntryNode::Impl::OnMessage(const protocol::Envelope& aEnvelope)
{
  if (mQuotas.OnMessage(aEnvelope)) {
    return;
  }
  if (!aEnvelope.has_crash_report()) {
    mCluster.OnMessage(aEnvelope);
    return;
  }
  if (const auto record =
        cluster::FromWire(mLoop.Now(), aEnvelope.crash_report())) {
    mServices.mCrashes.Merge(*record, base::HostId(aEnvelope.sender()));
  }
}

void EntryNode::Impl::OnVersionAnnounced(const http::Endpoint& aPeer,
                                         base::ConfigVersion aVersion)
{
  const base::ConfigVersion own = mServices.mRoutes.Version();
  if (aVersion > own) {
    mNewerVersionAt = aPeer;
    mServices.mVersionLag.OnAnnounced(mLoop.Now(),
                                      cluster::VersionPosition(aVersion),
                                      cluster::VersionPosition(own));
  }
}

void EntryNode::Impl::ReportNewerVersion()
{
  const base::TimePoint now = mLoop.Now();
  if (!mServices.IsVersionBehind(now) || now < mNextVersionReport) {
    return;
  }
  mNextVersionReport = now + kVersionReportInterval;
  base::LogWarning(base::LogLine("config_behind")
                     .With("version", mServices.mRoutes.Version())
                     .With("newer_at", mNewerVersionAt.mAddress));
  if (mNewerVersionObserver) {
    mNewerVersionObserver(mNewerVersionAt.mAddress);
  }
}

void EntryNode::Impl::OnViewChanged()
{
  mActiveHosts.OnView(mLoop.Now(), mCluster.View());
  mCluster.InformJoinedHosts(mServices.mCrashes.Refused());
  UpdateHostCounts();
}

void EntryNode::Impl::UpdateHostCounts()
{
  placing::HostCounts counts;
  counts.mLive = counts.mRegion = counts.mCentre = 0;
  for (const membership::HostView& it : mCluster.LiveHosts()) {
    ++counts.mLive;
    counts.mRegion += it.mHost.mRegion == mSettings.mRegion ? 1 : 0;
    counts.mCentre += it.mHost.mDataCentre == mSettings.mDataCentre ? 1 : 0;
  }
  std::set<base::RegionId> regions;
  counts.mRegionCentres = 0;
  for (const auto& [centre, region] : mSettings.mRegions) {
    regions.insert(region);
    counts.mRegionCentres += region == mSettings.mRegion ? 1 : 0;
  }
  counts.mRegions = std::max<std::size_t>(regions.size(), 1);
  // A host that has just started doesn't know the others yet; each data centre
  // has at least one.
  counts.mSharers =
    std::max(mActiveHosts.Count(mLoop.Now()), mSettings.mRegions.size());
  counts.mSelf = mSettings.mHost;
  mQuotas.OnViewChanged();
  counts.mLimitSharers = LimitSharers();
  mServices.mSharers = counts.mSharers;
  mServices.mPlacement.SetHostCounts(mLoop.Now(), counts);
}

std::vector<placing::LimitSharer> EntryNode::Impl::LimitSharers() const
{
  std::vector<placing::LimitSharer> sharers{ { mSettings.mHost,
                                               mSettings.mRegion } };
  std::set<base::DataCentreId> missing;
  for (const auto& [centre, region] : mSettings.mRegions) {
    missing.insert(centre);
  }
  missing.erase(mSettings.mDataCentre);
  for (const membership::HostIdentity& it : mActiveHosts.Hosts(mLoop.Now())) {
    missing.erase(it.mDataCentre);
    if (it.mId != mSettings.mHost) {
      sharers.push_back({ it.mId, it.mRegion });
    }
  }
  for (const base::DataCentreId& it : missing) {
    sharers.push_back({ base::HostId(it.Text()), mSettings.mRegions.at(it) });
  }
  return sharers;
}

void EntryNode::Impl::JoinWhenReady()
{
  if (!mHasJoined && !mServices.mRoutes.IsEmpty() && mHasUpstreams) {
    mHasJoined = true;
    mCluster.Start();
    base::LogInfo(base::LogLine("ready")
                    .With("config", mServices.mRoutes.Version())
                    .With("upstreams", mUpstreamBook.Size()));
  }
}

void EntryNode::Impl::RecordLoopLateness()
{
  const base::Duration late = mLoop.Lateness();
  mMetrics.Observe("auburnmux_loop_late_seconds", {}, mLoop.Now(), late);
  if (late >= kLoopLatenessThreshold) {
    base::LogWarning(
      base::LogLine("loop_late")
        .With(
          "ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(late).count())
        .With("open_requests", mServices.mRequests.size()));
  }
}

void EntryNode::Impl::OnTick()
{
  RecordLoopLateness();
  Apply(mUpstreamBook.OnTick(mLoop.Now()));
  mChecks.OnTick();
  ReportNewerVersion();
  BoundHeldBytes();
  ContinueStop();
}

void EntryNode::Impl::BeginStop(std::function<void()> aDone)
{
  mServices.mIsStopping = true;
  mStopPlan.emplace(mSettings.mStopGrace);
  mStopStart = mLoop.Now();
  mServices.mExitAt = *mStopStart + mStopPlan->EndRequestsAfter();
  mOnStopped = std::move(aDone);
  mCluster.StartLeaving();
  mFront.CloseAfterResponses();
  for (const base::Duration it :
       { mStopPlan->UnblockAfter(), mStopPlan->EndRequestsAfter(),
         mStopPlan->ExitAfter() }) {
    mStopTimers.push_back(mLoop.After(it, [this] { ContinueStop(); }));
  }
}

void EntryNode::Impl::ContinueStop()
{
  if (!mOnStopped) {
    return;
  }
  const base::Duration elapsed = mLoop.Now() - *mStopStart;
  if (mStopPlan->RefusesRequests(elapsed)) {
    mServices.mRefusesRequests = true;
    mFront.StopListening();
    mFront.CloseIdle();
  }
  if (elapsed >= mStopPlan->UnblockAfter()) {
    mFront.RequestResponses(elapsed >= mStopPlan->EndRequestsAfter()
                              ? http::ResponseScope::All
                              : http::ResponseScope::Blocking);
  }
  if (mStopPlan->ShouldExit(elapsed, IsWorkLeft())) {
    for (const RequestForwarder* it : mServices.mRequests) {
      it->LogCut();
    }
    std::exchange(mOnStopped, nullptr)();
  }
}

void EntryNode::Impl::LogHeldBytes()
{
  const buffering::HoldPolicy& policy = mServices.mHoldPolicy;
  const bool isFull = mIsFull ? policy.IsShrinking(mHeld->Total())
                              : policy.IsFull(mHeld->Total());
  if (std::exchange(mIsFull, isFull) != isFull) {
    base::LogWarning(
      base::LogLine("held_bytes")
        .With("full", isFull)
        .With("clients", mHeld->For(buffering::Receiver::Client))
        .With("upstreams", mHeld->For(buffering::Receiver::Upstream))
        .With("bound", policy.Settings().mHostBound));
  }
}

void EntryNode::Impl::BoundHeldBytes()
{
  for (RequestForwarder* it : mServices.mLargeBodies) {
    it->UpdateBodyInFlight();
  }
  LogHeldBytes();
  if (!mServices.mHoldPolicy.IsShrinking(mHeld->Total())) {
    return;
  }
  const base::TimePoint now = mLoop.Now();
  const std::vector<http::SlowReader> readers = mFront.SampleReaders();
  std::vector<std::weak_ptr<RequestForwarder>> senders;
  std::vector<buffering::HeldClient> clients;
  clients.reserve(readers.size() + mServices.mLargeBodies.size());
  for (const http::SlowReader& it : readers) {
    clients.push_back(it.mHeld);
  }
  for (RequestForwarder* it : mServices.mLargeBodies) {
    if (const auto body = it->WaitingBody()) {
      senders.push_back(it->weak_from_this());
      clients.push_back(*body);
    }
  }
  while (const auto n =
           mServices.mHoldPolicy.ClientToClose(now, mHeld->Total(), clients)) {
    if (*n < readers.size()) {
      CloseReader(readers[*n]);
    } else if (const auto sender = senders[*n - readers.size()].lock()) {
      sender->RefuseWaitingBody();
    }
    clients[*n].mHeld = base::ByteCount(0);
  }
}

void EntryNode::Impl::CloseReader(const http::SlowReader& aReader)
{
  base::LogWarning(
    base::LogLine("reader_closed")
      .With("client", aReader.mAddress)
      .With("held", aReader.mHeld.mHeld)
      .With("idle_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                         mLoop.Now() - aReader.mHeld.mLastProgress)
                         .count()));
  mMetrics.Count("auburnmux_readers_closed_total");
  mFront.CloseReader(aReader);
}

bool EntryNode::Impl::IsWorkLeft() const
{
  return !mServices.mRequests.empty() || mFront.ActiveExchanges() > 0 ||
         mFront.UnacknowledgedBytes() > base::ByteCount(0);
}

base::Duration EntryNode::Impl::LongestColdTime() const
{
  base::Duration longest{};
  for (const auto& [id, policy] : mServices.mRoutes.Current().mServices) {
    longest = std::max(longest, policy.mColdTime);
  }
  return longest;
}

void EntryNode::Impl::Apply(const upstreams::UpstreamEvents& aEvents)
{
  for (const upstreams::UpstreamEvent& it : aEvents) {
    std::visit(EventVisitor{ *this }, it);
  }
}

EntryNode::EntryNode(http::Loop& aLoop, EntrySettings aSettings,
                     const Translator& aTranslator)
  : mImpl(std::make_unique<Impl>(aLoop, std::move(aSettings), aTranslator))
{
}

EntryNode::~EntryNode()
{
  mImpl->mLoop.Cancel(mImpl->mTick);
  for (const http::Loop::TimerId it : mImpl->mStopTimers) {
    mImpl->mLoop.Cancel(it);
  }
  mImpl->mLoop.Cancel(mImpl->mCountTimer);
}

bool EntryNode::IsReady() const
{
  return mImpl->mHasJoined && !mImpl->mServices.mIsStopping;
}

std::vector<http::Endpoint> EntryNode::Lookup(
  const base::DataCentreId& aCentre, const base::RegionId& aRegion) const
{
  return ChooseHosts(mImpl->mCluster.LiveHosts(), aCentre, aRegion);
}

std::vector<membership::HostView> EntryNode::LiveHosts() const
{
  return mImpl->mCluster.LiveHosts();
}

std::string EntryNode::StatusText() const
{
  const base::TimePoint now = mImpl->mLoop.Now();
  const Services& services = mImpl->mServices;
  // The tag behind the name distinguishes starts of the process.
  const auto nameOf = [](const base::HostId& aHost) {
    return aHost.Text().substr(0, aHost.Text().find('/'));
  };
  nlohmann::json peers = nlohmann::json::array();
  for (const membership::HostView& it : mImpl->mCluster.View()) {
    peers.push_back({ { "host", nameOf(it.mHost.mId) },
                      { "address", it.mHost.mAddress },
                      { "state", cluster::HostStateName(it.mState) } });
  }
  const std::chrono::duration<double> age =
    services.mRoutes.IsEmpty() ? base::Duration() : now - mImpl->mConfigSince;
  return nlohmann::json{
    { "host", nameOf(mImpl->mSettings.mHost) },
    { "data_centre", mImpl->mSettings.mDataCentre.Text() },
    { "ready", IsReady() },
    { "leaving", services.mIsStopping },
    { "config",
      { { "version", services.mRoutes.Version().Count() },
        { "age_s", age.count() },
        { "confirmed", services.mConfirmation.IsRecent(now) } } },
    { "peers", peers },
    { "services", nlohmann::json::array() }
  }.dump();
}

std::string EntryNode::MetricsText()
{
  const auto set = [this](const char* aReceiver, base::ByteCount aBytes) {
    mImpl->mMetrics.Set("auburnmux_held_bytes", { { "receiver", aReceiver } },
                        static_cast<double>(aBytes.Count()));
  };
  set("client", mImpl->mHeld->For(buffering::Receiver::Client));
  set("upstream", mImpl->mHeld->For(buffering::Receiver::Upstream));
  return mImpl->mMetrics.PrometheusText(mImpl->mLoop.Now());
}

void EntryNode::Stop(std::function<void()> aDone)
{
  if (mImpl->mServices.mIsStopping) {
    return;
  }
  mImpl->BeginStop(std::move(aDone));
}

void EntryNode::AnnounceState(membership::StateSummary aState)
{
  mImpl->mCluster.SetState(std::move(aState));
}

void EntryNode::ObserveAnnouncedState(
  std::function<void(const membership::StateSummary&)> aObserver)
{
  mImpl->mCluster.ObserveState(std::move(aObserver));
}

void EntryNode::ObserveNewerConfiguration(
  std::function<void(const std::string&)> aObserver)
{
  mImpl->mNewerVersionObserver = std::move(aObserver);
}

void EntryNode::Reload(const EntrySettings& aSettings)
{
  mImpl->mSettings.mStopGrace = aSettings.mStopGrace;
  mImpl->mSettings.mLookupLifetime = aSettings.mLookupLifetime;
  mImpl->mSettings.mRetryBudget = aSettings.mRetryBudget;
}

void EntryNode::OnConfiguration(routing::Configuration aConfiguration,
                                StateSource aSource)
{
  routing::RouteTable& routes = mImpl->mServices.mRoutes;
  const base::ConfigVersion version = aConfiguration.mVersion;
  if (!routes.Update(std::move(aConfiguration))) {
    return;
  }
  mImpl->mConfigSince = mImpl->mLoop.Now();
  const routing::RequestLimits& limits = routes.Current().mLimits;
  mImpl->mFront.SetLimits({ limits.mMaxHead, limits.mMaxBody,
                            limits.mHeadTimeout, limits.mIdleTimeout });
  base::LogLine line("config_in_force");
  line.With("version", version)
    .With("routes", routes.Current().mRoutes.size())
    .With("source", aSource == StateSource::Store ? "store" : "other_host");
  if (const auto& customers = routes.Current().mCustomers) {
    line.With("customers", customers->Size());
  }
  base::LogInfo(line);
  mImpl->mServices.mPlacement.SetColdRates(
    [&routes](const base::ServiceId& aService) {
      return routes.Policy(aService).mColdRate;
    });
  if (routes.Current().mCustomers) {
    mImpl->mCluster.SetConfigVersion(version);
  }
  mImpl->mQuotas.SetQuotas(QuotasOf(routes.Current()));
  mImpl->JoinWhenReady();
}

void EntryNode::OnUpstreamList(
  const std::vector<upstreams::UpstreamRecord>& aRecords,
  upstreams::ListSource aSource)
{
  mImpl->mHasUpstreams = true;
  mImpl->Apply(
    mImpl->mUpstreamBook.OnList(mImpl->mLoop.Now(), aRecords, aSource));
  mImpl->JoinWhenReady();
}

void EntryNode::OnUpstream(const upstreams::UpstreamRecord& aRecord)
{
  mImpl->Apply(mImpl->mUpstreamBook.OnRecord(mImpl->mLoop.Now(), aRecord));
}

void EntryNode::OnUpstreamRemoved(const base::UpstreamId& aId)
{
  mImpl->Apply(mImpl->mUpstreamBook.OnRemoved(mImpl->mLoop.Now(), aId));
}

void EntryNode::OnEvacuations(std::set<base::DataCentreId> aCentres)
{
  base::LogLine line("evacuations");
  for (const base::DataCentreId& it : aCentres) {
    line.With("data_centre", it);
  }
  base::LogInfo(line);
  mImpl->mServices.mPlacement.SetEvacuated(
    mImpl->mLoop.Now(), std::move(aCentres), mImpl->LongestColdTime());
}

void EntryNode::OnConfigurationConfirmed()
{
  mImpl->mServices.mConfirmation.Confirm(mImpl->mLoop.Now());
}

void EntryNode::OnStoreLost()
{
  base::LogWarning(base::LogLine("store_lost"));
  mImpl->mUpstreamBook.OnSourceLost(mImpl->mLoop.Now());
}

void EntryNode::OnStoreBack()
{
  base::LogInfo(base::LogLine("store_back"));
  mImpl->mUpstreamBook.OnSourceBack(mImpl->mLoop.Now());
}

void EntryNode::OnUpstreamsRolledBack()
{
  mImpl->mUpstreamBook.OnSourceRolledBack(mImpl->mLoop.Now());
}

} // namespace auburnmux::entry
