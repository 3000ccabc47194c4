#include "daemon/src/SpillService.h"

#include <utility>

namespace auburnmux::daemon {

namespace {

constexpr std::uint64_t kBytesPerMegabit = 125000;

// Minimum interval of grant requests to itself for a foreign region: a grant
// lives 2 s and a sender holds at most 32 live ones.
constexpr base::Duration kForeignRequestInterval =
  std::chrono::milliseconds(100);

base::SlotCount Scaled(base::SlotCount aSlots, double aShare)
{
  return base::SlotCount(
    static_cast<std::uint32_t>(static_cast<double>(aSlots.Count()) * aShare));
}

/** \returns the lowest limit of this region's links, or 0 if it has none. */
std::uint64_t LowestLinkLimit(const config::TopologyFile& aTopology,
                              const base::RegionId& aRegion)
{
  std::uint64_t least = 0;
  for (const config::Link& it : aTopology.mLinks) {
    const bool isOwn = it.mLeft == aRegion || it.mRight == aRegion;
    if (isOwn && (least == 0 || it.mLimit.Count() < least)) {
      least = it.mLimit.Count();
    }
  }
  return least;
}

} // namespace

SpillService::SpillService(const DaemonContext& aContext,
                           peer::Transport& aTransport,
                           const cluster::ClusterNode& aCluster,
                           Measure aMeasure, Retry aRetry)
  : mContext(aContext)
  , mTransport(aTransport)
  , mCluster(aCluster)
  , mMeasure(std::move(aMeasure))
  , mRetry(std::move(aRetry))
  , mPolicy(aContext.mSettings.mHost, aContext.mSettings.mRegion)
{
}

void SpillService::Start()
{
  mContext.mLoop.Every(steering::SpillPolicy::kPlanInterval,
                       [this] { OnTick(); });
}

steering::IssuerSettings SpillService::MakeIssuerSettings(
  const config::ServiceFile& aService,
  const config::TopologyFile& aTopology) const
{
  const base::DataCentreId& own = mContext.mSettings.mDataCentre;
  const config::DataCentre* centre = aTopology.FindDataCentre(own);
  const std::uint32_t hosts =
    centre == nullptr ? 1 : std::max(centre->mHostSlots.Count(), 1U);
  const base::SlotCount cap =
    Scaled(aService.SlotsIn(own), aService.mSpill.mMaxShare.Count());
  steering::IssuerSettings settings;
  // Hosts have no index in their data centre, so each one takes the smallest
  // portion of the cap.
  settings.mPortion = steering::PortionOfCap(cap, hosts, hosts - 1);
  settings.mRampPerSecond = aService.mSpill.mRampPerSecond;
  const std::uint64_t link =
    LowestLinkLimit(aTopology, mContext.mSettings.mRegion);
  settings.mLink = {
    base::ByteCount(link * kBytesPerMegabit / hosts),
    base::ByteCount(aService.mSpill.mLinkPerSlot.Count() * kBytesPerMegabit),
    link == 0 ? base::Duration::zero() : std::chrono::seconds(1)
  };
  return settings;
}

void SpillService::Configure(const config::Snapshot& aSnapshot)
{
  const base::TimePoint now = mContext.mLoop.Now();
  mTopology = aSnapshot.mTopology;
  for (const config::ServiceFile& it : aSnapshot.mServices) {
    const auto settings = MakeIssuerSettings(it, mTopology);
    const auto found = mServices.find(it.mService);
    if (found != mServices.end()) {
      found->second.mIssuer.Configure(now, settings);
    } else {
      mServices.emplace(it.mService,
                        Service{ steering::GrantIssuer(settings, now),
                                 steering::GrantHolder(mContext.mIncarnation),
                                 steering::GrantHolder(mContext.mIncarnation),
                                 now, 0 });
    }
  }
  OnViewChanged();
}

void SpillService::OnViewChanged()
{
  const base::DataCentreId& own = mContext.mSettings.mDataCentre;
  std::vector<steering::SpillTarget> targets;
  for (const membership::HostView& it : mCluster.View()) {
    if (it.mState == membership::HostState::Alive &&
        it.mHost.mDataCentre != own) {
      targets.push_back({ it.mHost.mId, it.mHost.mDataCentre, it.mHost.mRegion,
                          mTopology.OneWayDelay(own, it.mHost.mDataCentre) });
    }
  }
  mPolicy.SetTargets(std::move(targets));
}

void SpillService::OnTick()
{
  const base::TimePoint now = mContext.mLoop.Now();
  for (const SlotMeasurement& it : mMeasure()) {
    const auto found = mServices.find(it.mService);
    if (found == mServices.end()) {
      continue;
    }
    Service& service = found->second;
    service.mIssuer.OnMeasured(now, { it.mShare, it.mLocal });
    const base::SlotCount waiting =
      it.mWaiting + base::SlotCount(std::exchange(service.mUnmetRequests, 0));
    if (waiting > base::SlotCount(0)) {
      Plan(it.mService, service, waiting);
      mRetry(it.mService);
    }
  }
}

void SpillService::Plan(const base::ServiceId& aId, Service& aService,
                        base::SlotCount aWaiting)
{
  const auto slotRequests =
    mPolicy.Plan(mContext.mLoop.Now(), { aWaiting }, aService.mGrants);
  for (const steering::SlotRequest& it : slotRequests) {
    const auto endpoint = mCluster.PeerEndpoint(it.mReceiver);
    if (!endpoint) {
      continue;
    }
    protocol::Envelope envelope;
    auto& request = *envelope.mutable_grant_request();
    request.set_correlation(it.mCorrelation.Count());
    request.set_service(aId.Text());
    request.set_sender_data_centre(mContext.mSettings.mDataCentre.Text());
    request.set_slots(it.mSlots.Count());
    mTransport.Send(*endpoint, envelope);
  }
}

void SpillService::OnMessage(const protocol::Envelope& aEnvelope)
{
  const base::HostId from(aEnvelope.sender());
  if (aEnvelope.has_grant_request()) {
    OnGrantRequest(from, aEnvelope.grant_request());
  } else if (aEnvelope.has_grant_reply()) {
    OnGrantReply(from, aEnvelope.grant_reply());
  }
}

void SpillService::OnGrantRequest(const base::HostId& aFrom,
                                  const protocol::GrantRequest& aMessage)
{
  const auto it = mServices.find(base::ServiceId(aMessage.service()));
  const auto endpoint = mCluster.PeerEndpoint(aFrom);
  if (it == mServices.end() || !endpoint || mCluster.IsLeaving()) {
    return;
  }
  const steering::GrantOffer offer = it->second.mIssuer.OnRequest(
    mContext.mLoop.Now(), aFrom, steering::Correlation(aMessage.correlation()),
    base::SlotCount(aMessage.slots()), mContext.mRandom);
  const auto lifetime =
    std::chrono::duration_cast<std::chrono::milliseconds>(offer.mLifetime);
  protocol::Envelope envelope;
  auto& reply = *envelope.mutable_grant_reply();
  reply.set_correlation(offer.mCorrelation.Count());
  reply.set_service(aMessage.service());
  reply.set_slots(offer.mSlots.Count());
  reply.set_token(offer.mToken.Count());
  reply.set_lifetime_ms(static_cast<std::uint32_t>(lifetime.count()));
  mTransport.Send(*endpoint, envelope);
}

void SpillService::OnGrantReply(const base::HostId& aFrom,
                                const protocol::GrantReply& aMessage)
{
  const auto it = mServices.find(base::ServiceId(aMessage.service()));
  if (it == mServices.end()) {
    return;
  }
  const base::Duration lifetime =
    std::min<base::Duration>(std::chrono::milliseconds(aMessage.lifetime_ms()),
                             steering::kGrantLifetime);
  it->second.mGrants.OnOffer(
    aFrom, { steering::Correlation(aMessage.correlation()),
             base::SlotCount(aMessage.slots()),
             steering::GrantToken(aMessage.token()), lifetime });
  mRetry(it->first);
}

std::optional<SpillTicket> SpillService::TakeTicket(
  const base::ServiceId& aService)
{
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return std::nullopt;
  }
  const auto use = mPolicy.Place(mContext.mLoop.Now(), it->second.mGrants);
  if (!use) {
    ++it->second.mUnmetRequests;
    return std::nullopt;
  }
  const auto endpoint = mCluster.HttpEndpoint(use->mReceiver);
  if (!endpoint) {
    it->second.mGrants.OnFinished(use->mReceiver);
    return std::nullopt;
  }
  return SpillTicket{ use->mReceiver, *endpoint, use->mToken.Count() };
}

void SpillService::ReturnTicket(const base::ServiceId& aService,
                                const SpillTicket& aTicket, TicketEnd aEnd)
{
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return;
  }
  if (aEnd == TicketEnd::Refused) {
    it->second.mGrants.OnRefused(
      { aTicket.mHost, steering::GrantToken(aTicket.mToken) });
  } else {
    it->second.mGrants.OnFinished(aTicket.mHost);
  }
}

bool SpillService::Admit(const base::ServiceId& aService,
                         const base::HostId& aSender, std::uint64_t aToken)
{
  const auto it = mServices.find(aService);
  return it != mServices.end() &&
         it->second.mIssuer.Admit(mContext.mLoop.Now(), aSender,
                                  steering::GrantToken(aToken));
}

bool SpillService::AdmitForeign(const base::ServiceId& aService,
                                const base::RegionId& aRegion)
{
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return false;
  }
  // The host issues grants to itself on behalf of the region's clients, so that
  // the cap and the ramp apply to them and to forwarded work together.
  const base::TimePoint now = mContext.mLoop.Now();
  const base::HostId sender = ForeignSender(aRegion);
  Service& service = it->second;
  auto use = service.mForeignGrants.TryUse(now, sender);
  if (!use) {
    RequestForeignSlots(service, sender);
    use = service.mForeignGrants.TryUse(now, sender);
  }
  if (!use) {
    return false;
  }
  if (!service.mIssuer.Admit(now, sender, use->mToken)) {
    service.mForeignGrants.OnFinished(sender);
    return false;
  }
  return true;
}

void SpillService::RequestForeignSlots(Service& aService,
                                       const base::HostId& aSender)
{
  constexpr base::SlotCount kHeadroom{ 8 };
  const base::TimePoint now = mContext.mLoop.Now();
  if (now < aService.mNextForeignRequest) {
    return;
  }
  aService.mNextForeignRequest = now + kForeignRequestInterval;
  const auto slotRequest = aService.mForeignGrants.RequestSlots(
    now, aSender, aService.mForeignGrants.InUse(aSender) + kHeadroom);
  if (slotRequest) {
    aService.mForeignGrants.OnOffer(
      aSender,
      aService.mIssuer.OnRequest(now, aSender, slotRequest->mCorrelation,
                                 slotRequest->mSlots, mContext.mRandom));
  }
}

void SpillService::OnAdmittedEnd(const base::ServiceId& aService,
                                 const base::HostId& aSender)
{
  const auto it = mServices.find(aService);
  if (it != mServices.end()) {
    it->second.mIssuer.OnFinished(aSender);
    if (it->second.mForeignGrants.InUse(aSender) > base::SlotCount(0)) {
      it->second.mForeignGrants.OnFinished(aSender);
    }
  }
}

} // namespace auburnmux::daemon
