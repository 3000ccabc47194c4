#pragma once

#include "membership/src/Settings.h"

#include <map>
#include <vector>

namespace auburnmux::membership {

/** Silence of one observed host. */
struct Watch
{
  base::TimePoint mHeard;
  /** Last time another observer vouched for the host. */
  base::TimePoint mVouched;
  base::TimePoint mAsked;
  /** The end of a watch that the ring doesn't require. */
  base::TimePoint mUntil;
  bool mIsRequired = false;
  /** Whether this host has told the others that the limit was reached. */
  bool mHasVoted = false;
  /** Observers whose own silence reached the limit, and when they said so. */
  std::map<base::HostId, base::TimePoint> mVotes;

  base::Duration DirectSilence(base::TimePoint aNow) const
  {
    return aNow - mHeard;
  }
  /** \returns the silence towards all observers that vouched. */
  base::Duration Silence(base::TimePoint aNow) const
  {
    return aNow - std::max(mHeard, mVouched);
  }
};

/** Silence timers of the hosts that this host observes. */
class Watches
{
public:
  /** Bound of watches beyond those that the ring requires. */
  static constexpr std::size_t kMaxTemporary = 64;

  /** Watches exactly \a aSubjects and the current temporary ones. */
  void Require(base::TimePoint aNow,
               const std::vector<base::HostId>& aSubjects);
  /** Watches \a aId at least until \a aUntil, if the bound allows it. */
  void AddTemporary(base::TimePoint aNow, const base::HostId& aId,
                    base::TimePoint aUntil);
  void Remove(const base::HostId& aId) { mWatches.erase(aId); }
  /** The host itself was heard. */
  void OnHeard(base::TimePoint aNow, const base::HostId& aId);
  /** Another observer hears the host. */
  void OnVouched(base::TimePoint aNow, const base::HostId& aId);
  void OnVote(base::TimePoint aNow, const base::HostId& aId,
              const base::HostId& aObserver);
  /** Starts all timers anew after a pause of this host. */
  void Reset(base::TimePoint aNow);

  Watch* Find(const base::HostId& aId);
  const Watch* Find(const base::HostId& aId) const;
  std::vector<base::HostId> Subjects() const;

private:
  std::map<base::HostId, Watch> mWatches;
};

} // namespace auburnmux::membership
