#pragma once

#include "membership/src/Settings.h"

#include <deque>
#include <unordered_set>
#include <vector>

namespace auburnmux::membership {

/**
 * Queue of changed hosts whose state is to be gossiped immediately, each in
 * exactly one round. A token bucket limits the rounds, so that a burst of
 * changes has a bounded cost.
 */
class GossipRounds
{
public:
  /** Capacity of the token bucket: rounds that may follow each other
   * immediately. */
  static constexpr double kBurst = 4;
  static constexpr double kRoundsPerSecond = 20;

  explicit GossipRounds(base::TimePoint aNow)
    : mLastRefill(aNow)
  {
  }

  /** Queues the state of \a aId. */
  void Add(const base::HostId& aId);
  /** Requests a round even when it carries no update. */
  void RequestRound() { mIsRequested = true; }
  /**
   * Starts a round if one is due and a token is available.
   * \returns whether it did; the hosts to report, at most `kMaxUpdates`, are
   * then moved into \a aOut.
   */
  bool Start(base::TimePoint aNow, std::vector<base::HostId>& aOut);

private:
  std::deque<base::HostId> mPending;
  std::unordered_set<base::HostId> mPendingIds;
  bool mIsRequested = false;
  double mTokens = kBurst;
  base::TimePoint mLastRefill;
};

} // namespace auburnmux::membership
