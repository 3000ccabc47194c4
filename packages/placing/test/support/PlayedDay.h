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

/** A load on a few hosts and upstreams. */
struct DaySettings
{
  std::uint64_t mSeed = 1;
  int mRegions = 3;
  int mHostsPerRegion = 2;
  /** Upstreams of each region. */
  std::vector<int> mUpstreams = { 2, 8, 8 };
  int mSlots = 4;
  /** Objects that an upstream remembers. */
  std::size_t mMemory = 24;
  /** Objects of each region. */
  int mObjects = 40;
  double mRequestsPerSecond = 100;
  base::Duration mColdWork = std::chrono::milliseconds(500);
  base::Duration mWarmWork = std::chrono::milliseconds(150);
  base::Duration mLatencyTarget = std::chrono::milliseconds(450);
  base::Duration mTimeout = std::chrono::milliseconds(1500);
  base::Duration mLength = std::chrono::seconds(20);
  /** All hosts take no requests from then on, for that long; what came
   * meanwhile comes at its end. */
  base::Duration mOutageAt{};
  base::Duration mOutageFor{};
  /** Whether the placement is told which object a request is about. */
  bool mUsesObjects = true;
  /** Whether upstreams are handed every request at once. */
  bool mIsUnbounded = false;
};

/** What callers got in one second of the day, by time of arrival. */
struct SecondOfDay
{
  int mAsked = 0;
  int mInTime = 0;
  int mServed = 0;
  int mRefused = 0;
  /** Of the first region's clients: served, and served in another region. */
  int mServedOfFirst = 0;
  int mAwayOfFirst = 0;
};

/** Plays a day in virtual time with the decisions that ship. */
class PlayedDay
{
public:
  explicit PlayedDay(const DaySettings& aSettings);
  ~PlayedDay();

  /** \returns what callers got in each second. */
  std::vector<SecondOfDay> Run();

private:
  struct Request;
  struct Upstream;
  struct Host;
  using Event = std::function<void()>;

  void At(base::TimePoint aTime, Event aEvent);
  /** \returns the second in which the request arrived. */
  SecondOfDay& SecondOf(const Request& aRequest);
  void Arrive(Host& aHost, int aRegion);
  void TryPlace(Host& aHost, const std::shared_ptr<Request>& aRequest);
  void Round(Host& aHost);
  void Deliver(Upstream& aUpstream, const std::shared_ptr<Request>& aRequest);
  void Begin(Upstream& aUpstream);
  void Finish(Upstream& aUpstream, const std::shared_ptr<Request>& aRequest);

  DaySettings mSettings;
  base::Random mRandom;
  base::TimePoint mNow;
  std::multimap<base::TimePoint, Event> mEvents;
  std::vector<std::unique_ptr<Upstream>> mUpstreams;
  std::map<base::UpstreamId, Upstream*> mById;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::vector<SecondOfDay> mSeconds;
};

/** \returns the share of callers that got a response in time, from second
 * \a aFrom on and before \a aTo. */
double InTimeShare(const std::vector<SecondOfDay>& aSeconds, std::size_t aFrom,
                   std::size_t aTo);

} // namespace auburnmux::placing
