#pragma once

#include "membership/src/Settings.h"

#include <map>
#include <vector>

namespace auburnmux::membership {

/** Tracks for how long one observed host has been silent. */
struct Watch
{
  /** Time of the last message from the host itself. */
  base::TimePoint mLastHeard;
  /** Last time another observer reported the host as alive. */
  base::TimePoint mLastReportedAlive;
  /** Last time the other observers were queried. */
  base::TimePoint mLastQuery;
  /** Expiry of a temporary watch. */
  base::TimePoint mExpiry;
  /** Whether the ring assigns the host to this host; otherwise the watch is
   * temporary. */
  bool mIsRequired = false;
  /** Whether this host has reported the host as dead to the other observers. */
  bool mHasReportedDead = false;
  /** Observers that reported the host as dead, and when. */
  std::map<base::HostId, base::TimePoint> mDeadReports;

  /** \returns the time since the host itself was heard. */
  base::Duration DirectSilence(base::TimePoint aNow) const
  {
    return aNow - mLastHeard;
  }
  /** \returns the time since the host was heard or another observer reported
   * it as alive. */
  base::Duration Silence(base::TimePoint aNow) const
  {
    return aNow - std::max(mLastHeard, mLastReportedAlive);
  }
};

/** Watches of the hosts that this host observes. */
class Watches
{
public:
  /** Maximum watches beyond those that the ring requires. */
  static constexpr std::size_t kMaxTemporaryWatches = 64;

  /** Keeps watches for \a aSubjects and the temporary watches that haven't
   * expired, and removes all others. */
  void UpdateSubjects(base::TimePoint aNow,
                      const std::vector<base::HostId>& aSubjects);
  /** Adds a watch for \a aId that lasts at least until \a aExpiry, unless
   * `kMaxTemporaryWatches` others are running already. */
  void AddTemporary(base::TimePoint aNow, const base::HostId& aId,
                    base::TimePoint aExpiry);
  void Remove(const base::HostId& aId) { mWatches.erase(aId); }
  /** Records a message from the host itself. */
  void OnHeard(base::TimePoint aNow, const base::HostId& aId);
  /** Records that another observer reported the host as alive. */
  void OnReportedAlive(base::TimePoint aNow, const base::HostId& aId);
  /** Records that \a aObserver reported the host as dead. */
  void OnDeadReport(base::TimePoint aNow, const base::HostId& aId,
                    const base::HostId& aObserver);
  /** Restarts the silence of all hosts after a pause of this host. */
  void Reset(base::TimePoint aNow);

  Watch* Find(const base::HostId& aId);
  const Watch* Find(const base::HostId& aId) const;
  std::vector<base::HostId> Subjects() const;

private:
  std::map<base::HostId, Watch> mWatches;
};

} // namespace auburnmux::membership
