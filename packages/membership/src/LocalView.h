#pragma once

#include "membership/src/Actions.h"
#include "membership/src/FailureDetector.h"
#include "membership/src/GossipRounds.h"
#include "membership/src/HostTable.h"
#include "membership/src/UpdateQueue.h"

namespace auburnmux::membership {

/**
 * This host's view of the fleet. It merges received updates and measurements
 * into the host table and queues the changes for gossip.
 */
class LocalView
{
public:
  /** Whether updates that change this view are forwarded to other hosts. */
  enum class Dissemination
  {
    Forward,
    /** The sender has forwarded them already, or is sending its table. */
    LocalOnly
  };

  LocalView(const HostIdentity& aSelf, const Timing& aTiming,
            base::TimePoint aNow);

  /**
   * Merges the sender's state as it reports it and records that it was heard.
   * \returns whether the sender is in the table with this incarnation.
   */
  bool OnSenderUpdate(base::TimePoint aNow, const HostUpdate& aSender,
                      Actions& aActions);
  /** Merges an update about any host, received from \a aFrom. */
  void Merge(base::TimePoint aNow, const HostUpdate& aUpdate,
             const base::HostId& aFrom, Dissemination aDissemination,
             Actions& aActions);
  /** Applies a decision of the failure detector. */
  void ApplyDecision(base::TimePoint aNow,
                     const FailureDetector::Decision& aDecision,
                     Actions& aActions);
  void StartLeaving(base::TimePoint aNow, Actions& aActions);
  void RemoveDead(base::TimePoint aNow, base::Duration aAge)
  {
    mTable.RemoveDead(aNow, aAge);
  }

  const HostUpdate& Self() const;
  std::optional<HostState> StateOf(const base::HostId& aId) const;
  const HostTable& Table() const { return mTable; }
  FailureDetector& Detector() { return mDetector; }
  UpdateQueue& Queue() { return mQueue; }
  GossipRounds& Gossip() { return mGossip; }

private:
  /** Refutes a suspicion or death of this host. Reports this host as dead if
   * a newer incarnation exists. */
  void MergeSelf(base::TimePoint aNow, const HostUpdate& aUpdate,
                 Actions& aActions);
  void MergeMeasurement(base::TimePoint aNow, const HostUpdate& aUpdate,
                        const base::HostId& aFrom, Actions& aActions);
  void Apply(base::TimePoint aNow, const HostUpdate& aUpdate,
             Dissemination aDissemination, Actions& aActions);
  void ConfirmSuspicion(base::TimePoint aNow, const HostRecord& aRecord,
                        Actions& aActions);
  /** Queues the state of \a aId for piggybacking and for a gossip round. */
  void Disseminate(const base::HostId& aId);

  base::HostId mSelf;
  HostTable mTable;
  FailureDetector mDetector;
  UpdateQueue mQueue;
  GossipRounds mGossip;
  /** Whether a newer incarnation with this host's id exists. */
  bool mIsSuperseded = false;
};

} // namespace auburnmux::membership
