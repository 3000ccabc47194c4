#pragma once

#include "cluster/Cluster.h"
#include "daemon/src/ClaimInterface.h"
#include "daemon/src/ClaimStore.h"
#include "daemon/src/DaemonContext.h"

#include "idempotency/Idempotency.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace auburnmux::daemon {

/**
 * Runs both sides of at-most-once execution on this host: the claims of its
 * own requests, and the claim logs of the partitions that it owns.
 */
class ClaimService final : public ClaimInterface
{
public:
  ClaimService(const DaemonContext& aContext, peer::Transport& aTransport,
               const cluster::ClusterNode& aCluster, ClaimStore& aStore);

  void Start();
  /** Handles a claim message of a peer. */
  void OnMessage(const protocol::Envelope& aEnvelope);

  idempotency::AttemptNumber Start(
    const idempotency::IdempotencyKey& aKey, idempotency::RequestHash aHash,
    std::weak_ptr<ClaimObserver> aObserver) override;
  void OnOutcome(idempotency::AttemptNumber aAttempt,
                 const idempotency::Outcome& aOutcome) override;
  void OnLost(idempotency::AttemptNumber aAttempt) override;
  void OnNotStarted(idempotency::AttemptNumber aAttempt) override;

private:
  struct Log
  {
    std::unique_ptr<idempotency::ClaimLog> mLog;
    base::TimePoint mLastUse;
  };
  struct ClientVisitor;
  struct LogVisitor;

  idempotency::Now Now() const;
  idempotency::PartitionNumber PartitionOf(
    const idempotency::IdempotencyKey& aKey) const;
  base::HostId OwnerOf(idempotency::PartitionNumber aPartition) const;
  Log& LogOf(idempotency::PartitionNumber aPartition);
  void DropUnusedLogs();
  void OnTick();

  void SendTo(const base::HostId& aHost, const protocol::Envelope& aEnvelope);
  void Dispatch(const base::HostId& aFrom, base::Incarnation aIncarnation,
                const protocol::Envelope& aEnvelope);
  void HandleClaim(const idempotency::ClaimHolder& aHolder,
                   const protocol::ClaimRequest& aMessage);
  void HandleOutcome(const idempotency::ClaimHolder& aHolder,
                     const protocol::ClaimOutcome& aMessage);
  void HandleRelease(const idempotency::ClaimHolder& aHolder,
                     const protocol::ClaimRelease& aMessage);
  void HandleReply(const protocol::ClaimReply& aMessage);
  void HandleQuery(const base::HostId& aFrom,
                   const protocol::ClaimQuery& aMessage);
  void HandleQueryReply(const idempotency::ClaimHolder& aHolder,
                        const protocol::ClaimQueryReply& aMessage);

  void Execute(const idempotency::ClaimClientActions& aActions);
  void Execute(idempotency::PartitionNumber aPartition,
               const idempotency::ClaimLogActions& aActions);
  std::shared_ptr<ClaimObserver> TakeObserver(
    idempotency::AttemptNumber aAttempt);
  ClaimStore::ResultCallback ResultFor(idempotency::PartitionNumber aPartition);
  /** Runs \a aTask now, or after the tasks already queued when called from a
   * task, so that events are never handled reentrantly. */
  void Enqueue(std::function<void()> aTask);

  const DaemonContext& mContext;
  peer::Transport& mTransport;
  const cluster::ClusterNode& mCluster;
  ClaimStore& mStore;
  idempotency::Retention mRetention;
  idempotency::ClaimClient mClient;
  std::map<idempotency::AttemptNumber, std::weak_ptr<ClaimObserver>> mObservers;
  std::map<idempotency::PartitionNumber, Log> mLogs;
  std::deque<std::function<void()>> mTasks;
  bool mIsRunning = false;
};

} // namespace auburnmux::daemon
