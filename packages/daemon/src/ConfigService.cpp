#include "daemon/src/ConfigService.h"

#include <utility>

namespace auburnmux::daemon {

namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);

// A host that isn't the watcher of its data centre reads the pointer at this
// interval, to confirm the version that it got from peers.
constexpr base::Duration kConfirmInterval = std::chrono::minutes(10);

// Interval of reads while the pointer is missing or malformed.
constexpr base::Duration kPointerRetryInterval = std::chrono::seconds(2);

constexpr base::Duration kBackoffBase = std::chrono::milliseconds(500);
constexpr base::Duration kBackoffCap = std::chrono::seconds(15);

// An unanswered snapshot request may be repeated after this interval.
constexpr base::Duration kPeerRequestInterval = std::chrono::milliseconds(300);

constexpr const char* kWatchDuty = "config-watch";

const char* ReasonText(config::OfferRejected::Reason aReason)
{
  switch (aReason) {
    case config::OfferRejected::Reason::WrongDigest:
      return "wrong_digest";
    case config::OfferRejected::Reason::VersionConflict:
      return "version_conflict";
    case config::OfferRejected::Reason::Unusable:
      return "unusable";
  }
  return "unknown";
}

} // namespace

ConfigService::ConfigService(const DaemonContext& aContext,
                             peer::Transport& aTransport,
                             cluster::ClusterNode& aCluster,
                             objects::PlatformClient& aPlatform,
                             ChangeCallback aOnChange)
  : mContext(aContext)
  , mTransport(aTransport)
  , mCluster(aCluster)
  , mPlatform(aPlatform)
  , mOnChange(std::move(aOnChange))
  , mBackoff(kBackoffBase, kBackoffCap)
{
}

void ConfigService::Start()
{
  mContext.mLoop.Every(kTickInterval, [this] { OnTick(); });
}

bool ConfigService::IsWatcher() const
{
  return mCluster.IsResponsibleFor(kWatchDuty);
}

void ConfigService::OnTick()
{
  if (mIsCallPending || mDownload || mContext.mLoop.Now() < mNextCall) {
    return;
  }
  mIsCallPending = true;
  // The first call is a plain read, because a watch returns only after a
  // publish.
  if (IsWatcher() && mPointerVersion != base::ObjectVersion(0)) {
    Watch();
  } else {
    Read();
  }
}

void ConfigService::Watch()
{
  const objects::CallOptions options{ objects::CallPurpose::ConfigWatch,
                                      objects::kWatchTimeout };
  mPlatform.Watch(
    config::kCurrentObject, mPointerVersion, options,
    [this](const objects::WatchResult& aResult) {
      mIsCallPending = false;
      if (const auto* found = std::get_if<objects::ObjectFound>(&aResult)) {
        OnPointerBytes(found->mVersion, found->mBytes);
      } else if (std::holds_alternative<objects::ObjectUnchanged>(aResult)) {
        OnCallAnswered();
        mState.NotePlatformVersion(mState.Tag(), mContext.mLoop.Now());
      } else {
        OnCallFailed();
      }
    });
}

void ConfigService::Read()
{
  const objects::CallOptions options{ objects::CallPurpose::ConfigRead };
  mPlatform.Get(
    config::kCurrentObject, options, [this](const objects::GetResult& aResult) {
      mIsCallPending = false;
      if (const auto* found = std::get_if<objects::ObjectFound>(&aResult)) {
        const bool hasSnapshot = mState.InForce() != nullptr;
        mNextCall =
          mContext.mLoop.Now() +
          (hasSnapshot && !IsWatcher() ? kConfirmInterval : kTickInterval);
        OnPointerBytes(found->mVersion, found->mBytes);
      } else if (std::holds_alternative<objects::ObjectNotFound>(aResult)) {
        mNextCall = mContext.mLoop.Now() + kPointerRetryInterval;
      } else {
        OnCallFailed();
      }
    });
}

void ConfigService::OnCallFailed()
{
  // All hosts lose the platform at the same time, so a random delay spreads
  // their reconnects.
  const auto hosts = static_cast<std::uint32_t>(mCluster.LiveHosts().size());
  mNextCall =
    mContext.mLoop.Now() + mBackoff.Next(mContext.mRandom) +
    objects::ReconnectDelay(objects::HostCount(hosts), mContext.mRandom);
  if (!std::exchange(mWasUnreachable, true)) {
    base::LogWarning(base::LogLine("platform_unreachable")
                       .With("version", mState.Tag().mVersion));
  }
}

void ConfigService::OnCallAnswered()
{
  mBackoff.Reset();
  if (std::exchange(mWasUnreachable, false)) {
    base::LogInfo(base::LogLine("platform_reachable")
                    .With("version", mState.Tag().mVersion));
  }
}

void ConfigService::OnPointerBytes(base::ObjectVersion aVersion,
                                   const std::string& aBytes)
{
  OnCallAnswered();
  const auto decoded = config::DecodePointer(aBytes);
  const auto* pointer = std::get_if<config::CurrentPointer>(&decoded);
  if (pointer == nullptr) {
    base::LogWarning(
      base::LogLine("config_pointer_rejected")
        .With("detail", std::get<config::SnapshotError>(decoded).mDetail));
    mNextCall = mContext.mLoop.Now() + kPointerRetryInterval;
    return;
  }
  if (aVersion > mPointerVersion) {
    mPointerVersion = aVersion;
  }
  if (mState.NotePlatformVersion(pointer->mCurrent.mTag,
                                 mContext.mLoop.Now())) {
    mDownload = Download{ *pointer,
                          config::PartNames(pointer->mCurrent.mTag.mDigest,
                                            pointer->mParts),
                          {} };
    FetchNextPart();
  }
}

void ConfigService::FetchNextPart()
{
  const objects::CallOptions options{ objects::CallPurpose::ConfigRead };
  const std::string name = mDownload->mNames.front();
  mPlatform.Get(name, options, [this](const objects::GetResult& aResult) {
    const auto* found = std::get_if<objects::ObjectFound>(&aResult);
    if (found == nullptr) {
      mDownload.reset();
      // Forces a plain read of the pointer, which restarts the download.
      mPointerVersion = base::ObjectVersion(0);
      OnCallFailed();
      return;
    }
    mDownload->mBytes += found->mBytes;
    mDownload->mNames.erase(mDownload->mNames.begin());
    if (!mDownload->mNames.empty()) {
      FetchNextPart();
      return;
    }
    const Download download = *std::exchange(mDownload, std::nullopt);
    const config::PublishedVersion& version = download.mPointer.mCurrent;
    ApplyOffer({ version.mTag, download.mBytes, config::FromPlatform{},
                 version.mPublishedAt });
    mState.NotePlatformVersion(version.mTag, mContext.mLoop.Now());
  });
}

void ConfigService::OnVersionAnnounced(const http::Endpoint& aPeer,
                                       base::ConfigVersion aVersion)
{
  const base::TimePoint now = mContext.mLoop.Now();
  const bool isPending = aVersion <= mRequested && now < mNextPeerRequest;
  if (aVersion <= mState.Tag().mVersion || isPending) {
    return;
  }
  mRequested = aVersion;
  mNextPeerRequest = now + kPeerRequestInterval;
  protocol::Envelope envelope;
  envelope.mutable_snapshot_request()->set_above_version(
    mState.Tag().mVersion.Count());
  mTransport.Send(aPeer, envelope);
}

void ConfigService::OnMessage(const protocol::Envelope& aEnvelope)
{
  const base::HostId from(aEnvelope.sender());
  if (aEnvelope.has_snapshot_request()) {
    OnSnapshotRequest(from, aEnvelope.snapshot_request());
  } else if (aEnvelope.has_snapshot_reply()) {
    OnSnapshotReply(from, aEnvelope.snapshot_reply());
  }
}

void ConfigService::OnSnapshotRequest(const base::HostId& aFrom,
                                      const protocol::SnapshotRequest& aMessage)
{
  const auto endpoint = mCluster.PeerEndpoint(aFrom);
  const std::uint64_t version = mState.Tag().mVersion.Count();
  if (!endpoint || version <= aMessage.above_version()) {
    return;
  }
  protocol::Envelope envelope;
  auto& reply = *envelope.mutable_snapshot_reply();
  reply.set_version(version);
  reply.set_digest(mState.Tag().mDigest.Text());
  reply.set_snapshot(mState.Bytes());
  reply.set_published_ms(static_cast<std::uint64_t>(
    mState.PublishedAt().time_since_epoch().count()));
  mTransport.Send(*endpoint, envelope);
}

void ConfigService::OnSnapshotReply(const base::HostId& aFrom,
                                    const protocol::SnapshotReply& aMessage)
{
  const config::VersionTag tag{ base::ConfigVersion(aMessage.version()),
                                config::Digest(aMessage.digest()) };
  const base::WallTime published{ std::chrono::milliseconds(
    aMessage.published_ms()) };
  ApplyOffer(
    { tag, aMessage.snapshot(), config::FromPeer{ aFrom }, published });
}

void ConfigService::ApplyOffer(const config::SnapshotOffer& aOffer)
{
  const auto result = mState.Offer(aOffer, mContext.mLoop.Now());
  if (const auto* rejected = std::get_if<config::OfferRejected>(&result)) {
    base::LogWarning(base::LogLine("config_rejected")
                       .With("version", rejected->mTag.mVersion)
                       .With("reason", ReasonText(rejected->mReason))
                       .With("detail", rejected->mDetail));
    return;
  }
  if (!std::holds_alternative<config::OfferAccepted>(result)) {
    return;
  }
  const bool isFromPlatform =
    std::holds_alternative<config::FromPlatform>(aOffer.mSource);
  base::LogInfo(base::LogLine("config_in_force")
                  .With("version", mState.Tag().mVersion)
                  .With("digest", mState.Tag().mDigest)
                  .With("source", isFromPlatform ? "platform" : "peer"));
  mOnChange(*mState.InForce());
  mCluster.SetConfigVersion(mState.Tag().mVersion);
}

} // namespace auburnmux::daemon
