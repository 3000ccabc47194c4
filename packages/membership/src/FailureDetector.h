#pragma once

#include "membership/src/ObserverRing.h"
#include "membership/src/Watches.h"

#include <optional>
#include <vector>

namespace auburnmux::membership {

/**
 * Decides the state of the observed hosts from the time since their last
 * message and the measurements of other observers. A host is dead when its
 * silence has reached `Timing::mDeadAfter` at this host and at a second
 * observer, or at this host alone if no other observer is reachable.
 */
class FailureDetector
{
public:
  enum class DecisionType
  {
    /** No direct or reported sign of life for `Timing::mSuspectAfter`. */
    Suspect,
    /** A second observer suspects the host, so the suspicion is gossiped. */
    ConfirmSuspicion,
    /** This host or another observer heard the host while only this host
     * suspected it. */
    ClearSuspicion,
    /** Ask `Decision::mObservers` for their measurements. */
    QueryObservers,
    /** The host is dead; `Decision::mObservers` confirmed it. */
    Dead
  };
  struct Decision
  {
    DecisionType mType = DecisionType::Suspect;
    base::HostId mSubject;
    std::vector<base::HostId> mObservers;
  };

  FailureDetector(const Timing& aTiming, base::HostId aSelf);

  /** Observes the subjects that \a aRing assigns to this host. */
  void UpdateSubjects(base::TimePoint aNow, const ObserverRing& aRing);
  /** Checks all observed hosts. */
  std::vector<Decision> OnTick(base::TimePoint aNow, const HostTable& aTable,
                               const ObserverRing& aRing);
  /** Records a message from the host of \a aRecord.
   * \returns ClearSuspicion if this host alone suspected it. */
  std::optional<DecisionType> OnHeard(base::TimePoint aNow,
                                      const HostRecord& aRecord);
  /**
   * Records what the observer \a aFrom measured about the host of \a aRecord.
   * \returns ConfirmSuspicion or ClearSuspicion if the measurement leads to it.
   */
  std::optional<DecisionType> OnMeasurement(base::TimePoint aNow,
                                            const HostUpdate& aUpdate,
                                            const base::HostId& aFrom,
                                            const HostRecord& aRecord);
  /** \returns this host's measurement, or nothing if it doesn't observe the
   * host or its silence supports none of Alive, Suspect and Dead. */
  std::optional<HostUpdate> Measure(base::TimePoint aNow,
                                    const HostRecord& aRecord) const;
  /** Restarts the silence of all hosts after a pause of this host. */
  void OnPause(base::TimePoint aNow) { mWatches.Reset(aNow); }
  void OnDead(const base::HostId& aId) { mWatches.Remove(aId); }
  std::vector<base::HostId> Subjects() const { return mWatches.Subjects(); }

private:
  void Check(base::TimePoint aNow, const HostRecord& aRecord,
             const HostTable& aTable, const ObserverRing& aRing,
             std::vector<Decision>& aOut);
  /** \returns the observers that recently reported the host as dead. */
  std::vector<base::HostId> Confirmations(base::TimePoint aNow,
                                          const Watch& aWatch) const;
  /** \returns whether \a aId isn't dead and was heard recently. */
  bool IsReachable(base::TimePoint aNow, const base::HostId& aId,
                   const HostTable& aTable) const;

  Timing mTiming;
  base::HostId mSelf;
  Watches mWatches;
};

} // namespace auburnmux::membership
