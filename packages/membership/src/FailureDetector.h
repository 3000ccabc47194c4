#pragma once

#include "membership/src/ObserverRing.h"
#include "membership/src/Watches.h"

#include <optional>
#include <vector>

namespace auburnmux::membership {

/**
 * Judges the observed hosts by their silence and by what other observers
 * measure. A host is dead when its silence has reached the limit here and at
 * a second observer, or here when no other observer can be reached.
 */
class FailureDetector
{
public:
  enum class Step
  {
    /** Silent for `Timing::mSuspectAfter` here. */
    Suspect,
    /** Another observer is suspicious too: all hosts are to know. */
    Agreed,
    /** Heard here or elsewhere after a suspicion of this host alone. */
    Restored,
    /** The observers in `Judgement::mObservers` are to be asked. */
    Ask,
    /** Dead; `Judgement::mObservers` confirmed it. */
    Dead
  };
  struct Judgement
  {
    Step mStep = Step::Suspect;
    base::HostId mSubject;
    std::vector<base::HostId> mObservers;
  };

  FailureDetector(const Timing& aTiming, base::HostId aSelf);

  /** Adapts the watches to the ring. */
  void Require(base::TimePoint aNow, const ObserverRing& aRing);
  std::vector<Judgement> OnTick(base::TimePoint aNow, const HostTable& aTable,
                                const ObserverRing& aRing);
  /** \returns Restored when that is the consequence. */
  std::optional<Step> OnHeard(base::TimePoint aNow, const HostRecord& aRecord);
  /**
   * Takes what the observer \a aFrom measured about the host of \a aRecord.
   * \returns Agreed or Restored when that is the consequence.
   */
  std::optional<Step> OnMeasurement(base::TimePoint aNow,
                                    const HostUpdate& aUpdate,
                                    const base::HostId& aFrom,
                                    const HostRecord& aRecord);
  /** \returns what this host measures; none when that says nothing. */
  std::optional<HostUpdate> Measure(base::TimePoint aNow,
                                    const HostRecord& aRecord) const;
  void OnPause(base::TimePoint aNow) { mWatches.Reset(aNow); }
  void OnDead(const base::HostId& aId) { mWatches.Remove(aId); }
  std::vector<base::HostId> Subjects() const { return mWatches.Subjects(); }

private:
  void Check(base::TimePoint aNow, const HostRecord& aRecord,
             const HostTable& aTable, const ObserverRing& aRing,
             std::vector<Judgement>& aOut);
  std::vector<base::HostId> Confirmations(base::TimePoint aNow,
                                          const Watch& aWatch) const;
  bool IsReachable(base::TimePoint aNow, const base::HostId& aId,
                   const HostTable& aTable) const;

  Timing mTiming;
  base::HostId mSelf;
  Watches mWatches;
};

} // namespace auburnmux::membership
