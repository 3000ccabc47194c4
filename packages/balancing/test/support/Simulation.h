#pragma once

#include "balancing/Balancing.h"
#include "limits/Limits.h"
#include "retries/Retries.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <tuple>
#include <vector>

namespace auburnmux::balancing::test {

/** Parameters of a simulated data centre; see docs/balancing.md. */
struct SimulationSettings
{
  Pool mPool = UpstreamPool();
  std::uint32_t mUpstreams = 35;
  std::uint32_t mSlots = 9;
  std::uint32_t mHosts = 1;
  /** Offered load as a fraction of the capacity of all slots. */
  double mLoad = 0.7;
  base::Duration mDuration = std::chrono::seconds(8);
  /** Number of upstreams that are slower in the second half, and the factor. */
  std::uint32_t mSlowed = 0;
  double mSlowFactor = 10;
  bool mHedging = false;
  /** If false, slots don't limit the hosts and requests queue inside the
   * upstreams, as with a plain proxy. */
  bool mUseShares = true;
  base::Duration mDeadline = std::chrono::seconds(10);
  /** Fraction of requests that take 30 times as long. */
  double mStragglers = 0;
  std::uint64_t mSeed = 20261204;
};

struct SimulationResult
{
  /** Latency in ms of requests that arrived in the second half. */
  double mMedian = 0;
  double mP99 = 0;
  /** Requests per second that finished by their deadline. */
  double mGoodput = 0;
  std::uint64_t mStarted = 0;
  std::uint64_t mLate = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mHedges = 0;
  std::uint64_t mAttemptsAtSlowed = 0;
  /** Attempts that were queued inside an upstream. */
  std::uint64_t mQueuedAtUpstream = 0;
};

/** Discrete-event simulation of pools, queues, admission and hedging. */
class Simulation
{
public:
  explicit Simulation(const SimulationSettings& aSettings);
  SimulationResult Run();

private:
  struct Host
  {
    Pool mPool;
    limits::DeadlineQueue mQueue;
    limits::Admission mAdmission;
    retries::HedgePolicy mHedge;
    base::SlotCount mSlots;
  };
  struct Request
  {
    std::size_t mHost = 0;
    base::TimePoint mArrival;
    base::TimePoint mStart;
    std::map<base::AttemptId, base::UpstreamId> mRunning;
    std::uint32_t mAttempts = 0;
    double mWork = 1;
  };
  /** Service demand of an attempt at its upstream. */
  struct Work
  {
    std::uint64_t mRequest = 0;
    base::TimePoint mSent;
    base::Duration mTime{};
  };
  struct Upstream
  {
    std::set<base::AttemptId> mRunning;
    std::deque<base::AttemptId> mWaiting;
  };
  struct Event
  {
    base::TimePoint mTime;
    std::uint64_t mSequence;
    std::function<void()> mAction;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mTime, aOther.mSequence) <
             std::tie(mTime, mSequence);
    }
  };

  void Schedule(base::TimePoint aTime, std::function<void()> aAction);
  void AddHosts();
  void Arrive();
  void Dispatch(Host& aHost);
  bool TryStart(std::uint64_t aRequest);
  void Serve(const base::UpstreamId& aId, base::AttemptId aAttempt);
  bool Release(const base::UpstreamId& aId, base::AttemptId aAttempt);
  void Finish(std::uint64_t aRequest, base::AttemptId aAttempt,
              base::TimePoint aSent);
  void Hedge(std::uint64_t aRequest);
  limits::AdmissionLoad LoadOf(Host& aHost) const;
  bool IsSlowed(const base::UpstreamId& aId) const;
  bool InSecondHalf(base::TimePoint aTime) const;

  SimulationSettings mSettings;
  base::Random mRandom;
  base::TimePoint mNow{};
  std::priority_queue<Event> mEvents;
  std::vector<Host> mHosts;
  std::map<base::UpstreamId, Upstream> mUpstreams;
  std::map<base::AttemptId, Work> mWork;
  std::map<std::uint64_t, Request> mRequests;
  std::vector<double> mLatencies;
  std::uint64_t mNextId = 0;
  std::uint64_t mOnTime = 0;
  double mRate = 0;
  SimulationResult mResult;
};

} // namespace auburnmux::balancing::test
