#pragma once

#include "membership/src/Settings.h"

#include <deque>
#include <unordered_set>
#include <vector>

namespace auburnmux::membership {

/**
 * News to forward at once, each item in exactly one round. The number of
 * rounds is limited, so that a burst of news has a bounded cost.
 */
class GossipRounds
{
public:
  /** Rounds that may follow each other directly. */
  static constexpr double kBurst = 4;
  static constexpr double kRoundsPerSecond = 20;

  explicit GossipRounds(base::TimePoint aNow)
    : mRefilled(aNow)
  {
  }

  void Add(const base::HostId& aId);
  /** Requests a round even when it carries no update. */
  void RequestRound() { mIsRequested = true; }
  /**
   * \returns whether a round is to be sent now; the hosts to report are then
   * moved into \a aOut (at most `kMaxUpdates`).
   */
  bool Start(base::TimePoint aNow, std::vector<base::HostId>& aOut);

private:
  std::deque<base::HostId> mPending;
  std::unordered_set<base::HostId> mIsPending;
  bool mIsRequested = false;
  double mTokens = kBurst;
  base::TimePoint mRefilled;
};

} // namespace auburnmux::membership
