#pragma once

#include "admission/Admission.h"
#include "placing/Placing.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <vector>

namespace auburnmux::placing {

/** Hosts, upstreams and traffic of a simulation. */
struct TrafficSettings
{
  std::uint64_t mSeed = 1;
  int mRegions = 3;
  int mHostsPerRegion = 2;
  /** Number of upstreams in each region. */
  std::vector<int> mUpstreams = { 2, 8, 8 };
  int mSlots = 4;
  /** Queued requests above which an upstream rejects others. */
  std::size_t mMaxUpstreamQueue = 1000;
  /** Number of objects that an upstream keeps in memory. */
  std::size_t mObjectCapacity = 24;
  /** Number of objects of each region. */
  int mObjects = 40;
  double mRequestsPerSecond = 100;
  base::Duration mColdWork = std::chrono::milliseconds(500);
  base::Duration mWarmWork = std::chrono::milliseconds(150);
  base::Duration mLatencyTarget = std::chrono::milliseconds(450);
  base::Duration mTimeout = std::chrono::milliseconds(1500);
  base::Duration mLength = std::chrono::seconds(20);
  /** Start and duration of an outage of all hosts. Requests of that time arrive
   * at its end. */
  base::Duration mOutageAt{};
  base::Duration mOutageFor{};
  /** Whether requests have an object that the placement knows. */
  bool mUsesObjects = true;
  /** Whether requests are sent at once, however long the upstreams' queues
   * are. */
  bool mHasUnboundedQueues = false;
};

/** Outcome of the requests that arrived in one second. */
struct SecondStats
{
  int mRequests = 0;
  int mInTime = 0;
  int mServed = 0;
  int mRefused = 0;
  /** Rejections by upstreams without a free slot. */
  int mRejected = 0;
  /** Served requests of the first region's clients: all, and those served in
   * another region. */
  int mFirstRegionServed = 0;
  int mFirstRegionServedElsewhere = 0;
};

/** Simulates traffic in virtual time with the production Placement and
 * AdmissionQueue. */
class TrafficSimulation
{
public:
  explicit TrafficSimulation(const TrafficSettings& aSettings);
  ~TrafficSimulation();

  /** \returns the outcome by second of arrival. */
  std::vector<SecondStats> Run();

private:
  struct Request;
  struct Upstream;
  struct Host;
  using Event = std::function<void()>;

  void At(base::TimePoint aTime, Event aEvent);
  /** \returns the statistics of the second in which the request arrived. */
  SecondStats& StatsOf(const Request& aRequest);
  void Arrive(Host& aHost, int aRegion);
  void TryPlace(Host& aHost, const std::shared_ptr<Request>& aRequest);
  void RunRound(Host& aHost);
  void Deliver(Upstream& aUpstream, const std::shared_ptr<Request>& aRequest);
  void Reject(Upstream& aUpstream, const std::shared_ptr<Request>& aRequest);
  void StartQueued(Upstream& aUpstream);
  void Finish(Upstream& aUpstream, const std::shared_ptr<Request>& aRequest);

  TrafficSettings mSettings;
  base::Random mRandom;
  base::TimePoint mNow;
  std::multimap<base::TimePoint, Event> mEvents;
  std::vector<std::unique_ptr<Upstream>> mUpstreams;
  std::map<base::UpstreamId, Upstream*> mById;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::vector<SecondStats> mSeconds;
};

/** \returns the share of requests that were rejected by upstreams, of all. */
double RejectedShare(const std::vector<SecondStats>& aSeconds,
                     std::size_t aFrom, std::size_t aTo);

/** \returns the share of requests that were answered within the latency target,
 * of those that arrived from second \a aFrom up to, excluding, \a aTo. */
double InTimeShare(const std::vector<SecondStats>& aSeconds, std::size_t aFrom,
                   std::size_t aTo);

} // namespace auburnmux::placing
