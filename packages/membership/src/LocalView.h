#pragma once

#include "membership/src/Actions.h"
#include "membership/src/FailureDetector.h"
#include "membership/src/GossipRounds.h"
#include "membership/src/HostTable.h"
#include "membership/src/UpdateQueue.h"

namespace auburnmux::membership {

/**
 * The view of this host: takes claims and measurements, decides what they
 * change, and notes which of it is to be spread.
 */
class LocalView
{
public:
  /** Whether claims that are new here are forwarded to other hosts. */
  enum class Spreading
  {
    Forward,
    /** The sender has forwarded them already, or sends a table. */
    Keep
  };

  LocalView(const HostIdentity& aSelf, const Timing& aTiming,
            base::TimePoint aNow);

  /**
   * Takes the sender's claim about itself as a sign of life.
   * \returns whether the sender is current and known.
   */
  bool OnSender(base::TimePoint aNow, const HostUpdate& aSender,
                Actions& aActions);
  void Merge(base::TimePoint aNow, const HostUpdate& aUpdate,
             const base::HostId& aFrom, Spreading aSpreading,
             Actions& aActions);
  /** Applies the judgement of the failure detector. */
  void ApplyStep(base::TimePoint aNow,
                 const FailureDetector::Judgement& aJudgement,
                 Actions& aActions);
  void StartLeaving(base::TimePoint aNow, Actions& aActions);
  void ForgetDead(base::TimePoint aNow, base::Duration aAge)
  {
    mTable.ForgetDead(aNow, aAge);
  }

  const HostUpdate& Self() const;
  std::optional<HostState> StateOf(const base::HostId& aId) const;
  const HostTable& Table() const { return mTable; }
  FailureDetector& Detector() { return mDetector; }
  UpdateQueue& Queue() { return mQueue; }
  GossipRounds& Gossip() { return mGossip; }

private:
  void MergeSelf(base::TimePoint aNow, const HostUpdate& aUpdate,
                 Actions& aActions);
  void MergeMeasurement(base::TimePoint aNow, const HostUpdate& aUpdate,
                        const base::HostId& aFrom, Actions& aActions);
  void Apply(base::TimePoint aNow, const HostUpdate& aUpdate,
             Spreading aSpreading, Actions& aActions);
  void Agree(base::TimePoint aNow, const HostRecord& aRecord,
             Actions& aActions);
  void Spread(const base::HostId& aId);

  base::HostId mSelf;
  HostTable mTable;
  FailureDetector mDetector;
  UpdateQueue mQueue;
  GossipRounds mGossip;
  bool mIsSuperseded = false;
};

} // namespace auburnmux::membership
