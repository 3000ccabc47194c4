#include "daemon/src/ClaimService.h"

#include "daemon/src/WireClaim.h"

#include <utility>

namespace auburnmux::daemon {

namespace {

using idempotency::AttemptNumber;
using idempotency::ClaimHolder;
using idempotency::IdempotencyKey;
using idempotency::PartitionNumber;

constexpr base::Duration kTickInterval = std::chrono::milliseconds(20);

// The log of a partition that another host owns is dropped after this long
// without use, to free its memory.
constexpr base::Duration kUnusedLogLifetime = std::chrono::seconds(60);

// Limits for each partition. A host that holds all 16 partitions alone needs
// about 280 MB for them; at 7 hosts it is about 40 MB each.
constexpr std::size_t kMaxKeysPerPartition = 100'000;
constexpr base::ByteCount kBodyBudgetPerPartition{ 2'000'000 };

idempotency::ClaimClientSettings ClientSettings(
  const idempotency::Retention& aRetention)
{
  idempotency::ClaimClientSettings settings;
  settings.mRetention = aRetention;
  return settings;
}

} // namespace

struct ClaimService::ClientVisitor
{
  ClaimService& mService;

  template<typename Action>
  void SendToOwner(const Action& aAction) const
  {
    const base::HostId owner =
      mService.OwnerOf(mService.PartitionOf(aAction.mKey));
    mService.SendTo(owner, ToWire(aAction));
  }
  void operator()(const idempotency::SendClaimRequest& aAction) const
  {
    SendToOwner(aAction);
  }
  void operator()(const idempotency::SendClaimOutcome& aAction) const
  {
    SendToOwner(aAction);
  }
  void operator()(const idempotency::SendClaimRelease& aAction) const
  {
    SendToOwner(aAction);
  }
  void operator()(const idempotency::SendClaimQueryAnswer& aAction) const
  {
    mService.SendTo(aAction.mTo, ToWire(aAction));
  }
  void operator()(const idempotency::Dispatch& aAction) const
  {
    if (const auto observer = mService.TakeObserver(aAction.mAttempt)) {
      observer->OnClaimGranted();
    } else {
      mService.OnNotStarted(aAction.mAttempt);
    }
  }
  void operator()(const idempotency::AnswerNotRun& aAction) const
  {
    if (const auto observer = mService.TakeObserver(aAction.mAttempt)) {
      observer->OnClaimNotRun(aAction.mReason);
    }
  }
  void operator()(const idempotency::AnswerNotKnown& aAction) const
  {
    if (const auto observer = mService.TakeObserver(aAction.mAttempt)) {
      observer->OnClaimNotKnown();
    }
  }
  void operator()(const idempotency::AnswerRan& aAction) const
  {
    if (const auto observer = mService.TakeObserver(aAction.mAttempt)) {
      observer->OnClaimRan(aAction.mOutcome);
    }
  }
};

struct ClaimService::LogVisitor
{
  ClaimService& mService;
  PartitionNumber mPartition;

  void operator()(const idempotency::ListSegments& aAction) const
  {
    mService.mStore.List(mPartition, aAction, mService.ResultFor(mPartition));
  }
  void operator()(const idempotency::ReadSegment& aAction) const
  {
    mService.mStore.Read(mPartition, aAction, mService.ResultFor(mPartition));
  }
  void operator()(const idempotency::WriteSegment& aAction) const
  {
    mService.mStore.Write(mPartition, aAction, mService.ResultFor(mPartition));
  }
  void operator()(const idempotency::DeleteSegment& aAction) const
  {
    mService.mStore.Delete(mPartition, aAction, mService.ResultFor(mPartition));
  }
  void operator()(const idempotency::SendClaimReply& aAction) const
  {
    mService.SendTo(aAction.mTo.mHost, ToWire(aAction));
  }
  void operator()(const idempotency::SendClaimQuery& aAction) const
  {
    mService.SendTo(aAction.mTo.mHost, ToWire(aAction));
  }
};

ClaimService::ClaimService(const DaemonContext& aContext,
                           peer::Transport& aTransport,
                           const cluster::ClusterNode& aCluster,
                           ClaimStore& aStore)
  : mContext(aContext)
  , mTransport(aTransport)
  , mCluster(aCluster)
  , mStore(aStore)
  , mClient(aContext.mIncarnation, ClientSettings(mRetention))
{
}

void ClaimService::Start()
{
  mContext.mLoop.Every(kTickInterval, [this] { OnTick(); });
}

idempotency::Now ClaimService::Now() const
{
  return { mContext.mLoop.Now(), http::Loop::WallNow() };
}

PartitionNumber ClaimService::PartitionOf(const IdempotencyKey& aKey) const
{
  return idempotency::PartitionOf(aKey);
}

base::HostId ClaimService::OwnerOf(PartitionNumber aPartition) const
{
  // While membership views differ, several hosts may consider themselves the
  // owner. The conditional writes to the store then let only one succeed.
  base::HostId owner = mContext.mSettings.mHost;
  std::uint64_t best = 0;
  for (const membership::HostView& it : mCluster.View()) {
    const bool isSelf = it.mHost.mId == mContext.mSettings.mHost;
    if (it.mState != membership::HostState::Alive && !isSelf) {
      continue;
    }
    const std::uint64_t score =
      base::CombineHash(base::Hash64(it.mHost.mId.Text()),
                        base::Hash64("claims", aPartition.Count()));
    if (score > best) {
      best = score;
      owner = it.mHost.mId;
    }
  }
  return owner;
}

ClaimService::Log& ClaimService::LogOf(PartitionNumber aPartition)
{
  Log& log = mLogs[aPartition];
  log.mLastUse = mContext.mLoop.Now();
  if (!log.mLog) {
    idempotency::ClaimLogSettings settings;
    settings.mRetention = mRetention;
    settings.mMaxKeys = kMaxKeysPerPartition;
    settings.mBodyBudget = kBodyBudgetPerPartition;
    log.mLog = std::make_unique<idempotency::ClaimLog>(settings,
                                                       mContext.mRandom.Next());
  }
  return log;
}

void ClaimService::DropUnusedLogs()
{
  const base::TimePoint now = mContext.mLoop.Now();
  for (auto it = mLogs.begin(); it != mLogs.end();) {
    const bool isUnused = now - it->second.mLastUse > kUnusedLogLifetime &&
                          it->second.mLog->WaitingCount() == 0 &&
                          OwnerOf(it->first) != mContext.mSettings.mHost;
    it = isUnused ? mLogs.erase(it) : std::next(it);
  }
}

void ClaimService::OnTick()
{
  Enqueue([this] {
    Execute(mClient.OnTick(Now()));
    for (auto& [partition, log] : mLogs) {
      Execute(partition, log.mLog->OnTick(Now()));
    }
    DropUnusedLogs();
  });
}

void ClaimService::Enqueue(std::function<void()> aTask)
{
  mTasks.push_back(std::move(aTask));
  if (std::exchange(mIsRunning, true)) {
    return;
  }
  while (!mTasks.empty()) {
    const std::function<void()> task = std::move(mTasks.front());
    mTasks.pop_front();
    task();
  }
  mIsRunning = false;
}

AttemptNumber ClaimService::Start(const IdempotencyKey& aKey,
                                  idempotency::RequestHash aHash,
                                  std::weak_ptr<ClaimObserver> aObserver)
{
  auto [attempt, actions] = mClient.Start(aKey, aHash, Now());
  mObservers[attempt] = std::move(aObserver);
  Enqueue([this, taken = std::move(actions)] { Execute(taken); });
  return attempt;
}

void ClaimService::OnOutcome(AttemptNumber aAttempt,
                             const idempotency::Outcome& aOutcome)
{
  Enqueue([this, actions = mClient.OnOutcome(aAttempt, aOutcome, Now())] {
    Execute(actions);
  });
}

void ClaimService::OnLost(AttemptNumber aAttempt)
{
  mClient.OnLost(aAttempt);
}

void ClaimService::OnNotStarted(AttemptNumber aAttempt)
{
  Enqueue(
    [this, actions = mClient.OnNotStarted(aAttempt)] { Execute(actions); });
}

std::shared_ptr<ClaimObserver> ClaimService::TakeObserver(
  AttemptNumber aAttempt)
{
  const auto it = mObservers.find(aAttempt);
  if (it == mObservers.end()) {
    return nullptr;
  }
  auto observer = it->second.lock();
  mObservers.erase(it);
  return observer;
}

void ClaimService::Execute(const idempotency::ClaimClientActions& aActions)
{
  for (const idempotency::ClaimClientAction& it : aActions) {
    std::visit(ClientVisitor{ *this }, it);
  }
}

void ClaimService::Execute(PartitionNumber aPartition,
                           const idempotency::ClaimLogActions& aActions)
{
  for (const idempotency::ClaimLogAction& it : aActions) {
    std::visit(LogVisitor{ *this, aPartition }, it);
  }
}

ClaimStore::ResultCallback ClaimService::ResultFor(PartitionNumber aPartition)
{
  return [this, aPartition](const idempotency::PlatformResult& aResult) {
    Enqueue([this, aPartition, aResult] {
      // The log may have been dropped in the meantime; ignore the result then.
      const auto it = mLogs.find(aPartition);
      if (it != mLogs.end()) {
        Execute(aPartition, it->second.mLog->OnResult(aResult, Now()));
      }
    });
  };
}

void ClaimService::SendTo(const base::HostId& aHost,
                          const protocol::Envelope& aEnvelope)
{
  if (aHost == mContext.mSettings.mHost) {
    Enqueue([this, aEnvelope] {
      Dispatch(mContext.mSettings.mHost, mContext.mIncarnation, aEnvelope);
    });
    return;
  }
  if (const auto endpoint = mCluster.PeerEndpoint(aHost)) {
    mTransport.Send(*endpoint, aEnvelope);
  }
}

void ClaimService::OnMessage(const protocol::Envelope& aEnvelope)
{
  Enqueue([this, aEnvelope] {
    Dispatch(base::HostId(aEnvelope.sender()),
             base::Incarnation(aEnvelope.sender_incarnation()), aEnvelope);
  });
}

void ClaimService::Dispatch(const base::HostId& aFrom,
                            base::Incarnation aIncarnation,
                            const protocol::Envelope& aEnvelope)
{
  const auto holder = [&](std::uint64_t aAttempt) {
    return ClaimHolder{ aFrom, aIncarnation, AttemptNumber(aAttempt) };
  };
  if (aEnvelope.has_claim_request()) {
    HandleClaim(holder(aEnvelope.claim_request().attempt()),
                aEnvelope.claim_request());
  } else if (aEnvelope.has_claim_outcome()) {
    HandleOutcome(holder(aEnvelope.claim_outcome().attempt()),
                  aEnvelope.claim_outcome());
  } else if (aEnvelope.has_claim_release()) {
    HandleRelease(holder(aEnvelope.claim_release().attempt()),
                  aEnvelope.claim_release());
  } else if (aEnvelope.has_claim_reply()) {
    HandleReply(aEnvelope.claim_reply());
  } else if (aEnvelope.has_claim_query()) {
    HandleQuery(aFrom, aEnvelope.claim_query());
  } else if (aEnvelope.has_claim_query_reply()) {
    HandleQueryReply(holder(aEnvelope.claim_query_reply().attempt()),
                     aEnvelope.claim_query_reply());
  }
}

void ClaimService::HandleClaim(const ClaimHolder& aHolder,
                               const protocol::ClaimRequest& aMessage)
{
  const auto key = IdempotencyKey::FromBytes(aMessage.key());
  if (!key) {
    return;
  }
  const PartitionNumber partition = PartitionOf(*key);
  const idempotency::ClaimCall call{
    aHolder, *key, idempotency::RequestHash(aMessage.request_hash())
  };
  Execute(partition, LogOf(partition).mLog->OnClaim(call, Now()));
}

void ClaimService::HandleOutcome(const ClaimHolder& aHolder,
                                 const protocol::ClaimOutcome& aMessage)
{
  const auto key = IdempotencyKey::FromBytes(aMessage.key());
  if (!key) {
    return;
  }
  const PartitionNumber partition = PartitionOf(*key);
  Execute(partition, LogOf(partition).mLog->OnOutcome(
                       *key, aHolder, ReadOutcome(aMessage), Now()));
}

void ClaimService::HandleRelease(const ClaimHolder& aHolder,
                                 const protocol::ClaimRelease& aMessage)
{
  const auto key = IdempotencyKey::FromBytes(aMessage.key());
  if (!key) {
    return;
  }
  const PartitionNumber partition = PartitionOf(*key);
  Execute(partition, LogOf(partition).mLog->OnRelease(*key, aHolder, Now()));
}

void ClaimService::HandleReply(const protocol::ClaimReply& aMessage)
{
  const auto verdict = FromWire(aMessage.verdict());
  if (verdict) {
    Execute(mClient.OnReply(AttemptNumber(aMessage.correlation()), *verdict,
                            ReadOutcome(aMessage), Now()));
  }
}

void ClaimService::HandleQuery(const base::HostId& aFrom,
                               const protocol::ClaimQuery& aMessage)
{
  const auto key = IdempotencyKey::FromBytes(aMessage.key());
  if (!key) {
    return;
  }
  const ClaimHolder holder{ mContext.mSettings.mHost,
                            base::Incarnation(aMessage.holder_incarnation()),
                            AttemptNumber(aMessage.attempt()) };
  Execute(mClient.OnQuery(aFrom, holder, *key, Now()));
}

void ClaimService::HandleQueryReply(const ClaimHolder& aHolder,
                                    const protocol::ClaimQueryReply& aMessage)
{
  const auto key = IdempotencyKey::FromBytes(aMessage.key());
  const auto state = FromWire(aMessage.state());
  if (!key || !state) {
    return;
  }
  const PartitionNumber partition = PartitionOf(*key);
  const idempotency::ClaimQueryAnswer answer{ aHolder, *key, *state,
                                              ReadOutcome(aMessage) };
  Execute(partition, LogOf(partition).mLog->OnQueryAnswer(answer, Now()));
}

} // namespace auburnmux::daemon
