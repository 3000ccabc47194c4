#include "placing/test/support/TrafficSimulation.h"

#include <algorithm>

namespace auburnmux::placing {

namespace {

constexpr base::Duration kLocalRoundTrip = std::chrono::milliseconds(2);
constexpr base::Duration kRemoteRoundTrip = std::chrono::milliseconds(40);
constexpr base::TimePoint kStart{ std::chrono::seconds(100) };
constexpr base::Duration kRoundPeriod = std::chrono::milliseconds(10);

base::RegionId RegionOf(int aRegion)
{
  return base::RegionId("region-" + std::to_string(aRegion));
}

base::DataCentreId CentreOf(int aRegion)
{
  return base::DataCentreId("centre-" + std::to_string(aRegion));
}

} // namespace

struct TrafficSimulation::Request
{
  Host* mHost = nullptr;
  PlaceRequest mPlace;
  Placed mPlaced;
  base::TimePoint mArrived;
  base::TimePoint mSent;
  std::uint64_t mObject = 0;
  admission::Ticket mTicket;
  bool mIsWaiting = false;
  bool mIsOver = false;
};

struct TrafficSimulation::Upstream
{
  UpstreamSpec mSpec;
  int mRunning = 0;
  std::deque<std::shared_ptr<Request>> mQueue;
  std::list<std::uint64_t> mCachedObjects;
};

struct TrafficSimulation::Host
{
  Host(int aRegion, const PlacingSettings& aSettings)
    : mRegion(aRegion)
    , mPlacement(aSettings, CentreOf(aRegion), RegionOf(aRegion))
  {
  }

  int mRegion;
  Placement mPlacement;
  admission::AdmissionQueue mAdmissionQueue;
  std::map<std::uint64_t, std::shared_ptr<Request>> mWaiting;
  std::uint64_t mLastTicket = 0;
};

TrafficSimulation::TrafficSimulation(const TrafficSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
  , mNow(kStart)
  , mSeconds(static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(aSettings.mLength)
        .count()))
{
  for (int region = 0; region < mSettings.mRegions; ++region) {
    for (int i = 0; i < mSettings.mUpstreams[static_cast<std::size_t>(region)];
         ++i) {
      auto upstream = std::make_unique<Upstream>();
      upstream->mSpec = {
        base::UpstreamId("u" + std::to_string(region) + '-' +
                         std::to_string(i)),
        base::ServiceId("service"), CentreOf(region), RegionOf(region),
        base::SlotCount(static_cast<std::uint32_t>(mSettings.mSlots))
      };
      mById[upstream->mSpec.mId] = upstream.get();
      mUpstreams.push_back(std::move(upstream));
    }
  }
  PlacingSettings placing;
  if (mSettings.mHasUnboundedQueues) {
    placing.mQueueShare = 1000;
  }
  for (int i = 0; i < mSettings.mRegions * mSettings.mHostsPerRegion; ++i) {
    mHosts.push_back(std::make_unique<Host>(i % mSettings.mRegions, placing));
    const auto region = static_cast<std::size_t>(mSettings.mHostsPerRegion);
    const std::size_t all =
      region * static_cast<std::size_t>(mSettings.mRegions);
    mHosts.back()->mPlacement.SetHostCounts(
      kStart, { all, region, all, region, 1,
                static_cast<std::size_t>(mSettings.mRegions) });
    for (const auto& it : mUpstreams) {
      mHosts.back()->mPlacement.Add(base::TimePoint(), it->mSpec, {});
    }
  }
}

TrafficSimulation::~TrafficSimulation() = default;

void TrafficSimulation::At(base::TimePoint aTime, Event aEvent)
{
  mEvents.emplace(aTime, std::move(aEvent));
}

std::vector<SecondStats> TrafficSimulation::Run()
{
  const base::TimePoint start = mNow;
  const base::TimePoint end = start + mSettings.mLength;
  const base::TimePoint down = start + mSettings.mOutageAt;
  const base::TimePoint up = down + mSettings.mOutageFor;
  const double gap = 1.0 / mSettings.mRequestsPerSecond;
  for (double t = 0; start + std::chrono::duration_cast<base::Duration>(
                               std::chrono::duration<double>(t)) <
                     end;
       t += gap * 2 * mRandom.Fraction()) {
    base::TimePoint at = start + std::chrono::duration_cast<base::Duration>(
                                   std::chrono::duration<double>(t));
    if (at >= down && at < up) {
      at = up;
    }
    Host& host = *mHosts[mRandom.Below(mHosts.size())];
    At(at, [this, &host] { Arrive(host, host.mRegion); });
  }
  for (base::TimePoint t = start; t < end + std::chrono::seconds(5);
       t += kRoundPeriod) {
    At(t, [this] {
      for (const auto& it : mHosts) {
        RunRound(*it);
      }
    });
  }
  while (!mEvents.empty()) {
    const auto it = mEvents.begin();
    mNow = it->first;
    const Event event = std::move(it->second);
    mEvents.erase(it);
    event();
  }
  return mSeconds;
}

SecondStats& TrafficSimulation::StatsOf(const Request& aRequest)
{
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(
    aRequest.mArrived - kStart);
  return mSeconds[std::min(static_cast<std::size_t>(second.count()),
                           mSeconds.size() - 1)];
}

void TrafficSimulation::Arrive(Host& aHost, int aRegion)
{
  auto request = std::make_shared<Request>();
  request->mHost = &aHost;
  request->mArrived = mNow;
  request->mObject =
    static_cast<std::uint64_t>(aRegion) * 1000 +
    mRandom.Below(static_cast<std::uint64_t>(mSettings.mObjects));
  request->mPlace.mService = base::ServiceId("service");
  request->mPlace.mKind = "check";
  request->mPlace.mLatencyTarget = mSettings.mLatencyTarget;
  if (mSettings.mUsesObjects) {
    request->mPlace.mObject =
      ObjectHash(base::Hash64(std::to_string(request->mObject)));
  }
  ++StatsOf(*request).mRequests;
  TryPlace(aHost, request);
}

void TrafficSimulation::TryPlace(Host& aHost,
                                 const std::shared_ptr<Request>& aRequest)
{
  const auto leave = [&] {
    if (aRequest->mIsWaiting) {
      aRequest->mIsWaiting = false;
      aHost.mAdmissionQueue.Remove(aRequest->mTicket);
      aHost.mWaiting.erase(aRequest->mTicket.Count());
    }
  };
  aRequest->mPlace.mTimeLeft = mSettings.mTimeout - (mNow - aRequest->mArrived);
  const PlaceDecision decision =
    aRequest->mPlace.mTimeLeft <= base::Duration::zero()
      ? PlaceDecision(NoCapacity{})
      : aHost.mPlacement.Place(mNow, aRequest->mPlace);
  if (const auto* wait = std::get_if<Wait>(&decision)) {
    if (!aRequest->mIsWaiting) {
      aRequest->mIsWaiting = true;
      aRequest->mTicket = admission::Ticket(++aHost.mLastTicket);
      aHost.mAdmissionQueue.Add({ aRequest->mTicket, 0, aRequest->mArrived,
                                  aRequest->mArrived +
                                    mSettings.mLatencyTarget -
                                    wait->mResponseTime });
      aHost.mWaiting[aRequest->mTicket.Count()] = aRequest;
    }
    return;
  }
  leave();
  if (const auto* place = std::get_if<Placed>(&decision)) {
    aRequest->mPlaced = *place;
    aRequest->mSent = mNow;
    Upstream& upstream = *mById.at(place->mUpstream);
    const bool isLocal = upstream.mSpec.mRegion == RegionOf(aHost.mRegion);
    At(mNow + (isLocal ? kLocalRoundTrip : kRemoteRoundTrip) / 2,
       [this, &upstream, aRequest] { Deliver(upstream, aRequest); });
    At(aRequest->mArrived + mSettings.mTimeout, [this, &aHost, aRequest] {
      if (!aRequest->mIsOver && !aRequest->mIsWaiting) {
        aRequest->mIsOver = true;
        aHost.mPlacement.OnResult(
          mNow, aRequest->mPlace,
          { aRequest->mPlaced.mUpstream, Outcome::TimedOut });
      }
    });
  } else {
    ++StatsOf(*aRequest).mRefused;
  }
}

void TrafficSimulation::RunRound(Host& aHost)
{
  aHost.mPlacement.BeginRound();
  for (const admission::Ticket it : aHost.mAdmissionQueue.First(mNow, 64)) {
    const auto waiting = aHost.mWaiting.find(it.Count());
    if (waiting != aHost.mWaiting.end()) {
      TryPlace(aHost, std::shared_ptr<Request>(waiting->second));
    }
  }
}

void TrafficSimulation::Deliver(Upstream& aUpstream,
                                const std::shared_ptr<Request>& aRequest)
{
  if (aUpstream.mRunning >= mSettings.mSlots &&
      aUpstream.mQueue.size() >= mSettings.mMaxUpstreamQueue) {
    Reject(aUpstream, aRequest);
    return;
  }
  aUpstream.mQueue.push_back(aRequest);
  StartQueued(aUpstream);
}

void TrafficSimulation::Reject(Upstream& aUpstream,
                               const std::shared_ptr<Request>& aRequest)
{
  constexpr std::size_t kMaxRejections = 3;
  const LoadReport report{ static_cast<std::uint32_t>(aUpstream.mRunning),
                           static_cast<std::uint32_t>(aUpstream.mQueue.size()),
                           aUpstream.mSpec.mSlots, 1 };
  ++StatsOf(*aRequest).mRejected;
  At(mNow + kLocalRoundTrip / 2, [this, &aUpstream, aRequest, report] {
    if (aRequest->mIsOver) {
      return;
    }
    Host& host = *aRequest->mHost;
    host.mPlacement.OnResult(mNow, aRequest->mPlace,
                             { aUpstream.mSpec.mId,
                               Outcome::Rejected,
                               aRequest->mPlaced.mWarmth,
                               {},
                               {},
                               report });
    aRequest->mPlace.mTried.push_back(aUpstream.mSpec.mId);
    if (aRequest->mPlace.mTried.size() < kMaxRejections) {
      TryPlace(host, aRequest);
    } else {
      aRequest->mIsOver = true;
      ++StatsOf(*aRequest).mRefused;
    }
  });
}

void TrafficSimulation::StartQueued(Upstream& aUpstream)
{
  while (aUpstream.mRunning < mSettings.mSlots && !aUpstream.mQueue.empty()) {
    const auto request = aUpstream.mQueue.front();
    aUpstream.mQueue.pop_front();
    if (request->mIsOver) {
      continue;
    }
    ++aUpstream.mRunning;
    auto& memory = aUpstream.mCachedObjects;
    const auto known =
      std::find(memory.begin(), memory.end(), request->mObject);
    const bool isWarm = known != memory.end();
    if (isWarm) {
      memory.erase(known);
    }
    memory.push_front(request->mObject);
    if (memory.size() > mSettings.mObjectCapacity) {
      memory.pop_back();
    }
    At(mNow + (isWarm ? mSettings.mWarmWork : mSettings.mColdWork),
       [this, &aUpstream, request] { Finish(aUpstream, request); });
  }
}

void TrafficSimulation::Finish(Upstream& aUpstream,
                               const std::shared_ptr<Request>& aRequest)
{
  --aUpstream.mRunning;
  const bool isLocal =
    aUpstream.mSpec.mRegion == RegionOf(aRequest->mHost->mRegion);
  const LoadReport report{ static_cast<std::uint32_t>(aUpstream.mRunning),
                           static_cast<std::uint32_t>(aUpstream.mQueue.size()),
                           aUpstream.mSpec.mSlots, 1 };
  At(mNow + (isLocal ? kLocalRoundTrip : kRemoteRoundTrip) / 2,
     [this, &aUpstream, aRequest, report, isOtherRegion = !isLocal] {
       if (std::exchange(aRequest->mIsOver, true)) {
         return;
       }
       aRequest->mHost->mPlacement.OnResult(
         mNow, aRequest->mPlace,
         { aUpstream.mSpec.mId, Outcome::Answered, aRequest->mPlaced.mWarmth,
           mNow - aRequest->mSent, aRequest->mPlaced.mExpectedWork, report });
       SecondStats& second = StatsOf(*aRequest);
       ++second.mServed;
       if (aRequest->mHost->mRegion == 0) {
         ++second.mFirstRegionServed;
         second.mFirstRegionServedElsewhere += isOtherRegion ? 1 : 0;
       }
       second.mInTime +=
         mNow - aRequest->mArrived <= mSettings.mLatencyTarget ? 1 : 0;
     });
  StartQueued(aUpstream);
}

double RejectedShare(const std::vector<SecondStats>& aSeconds,
                     std::size_t aFrom, std::size_t aTo)
{
  double asked = 0;
  double rejected = 0;
  for (std::size_t i = aFrom; i < aTo; ++i) {
    asked += aSeconds[i].mRequests;
    rejected += aSeconds[i].mRejected;
  }
  return rejected / std::max(asked, 1.0);
}

double InTimeShare(const std::vector<SecondStats>& aSeconds, std::size_t aFrom,
                   std::size_t aTo)
{
  double asked = 0;
  double inTime = 0;
  for (std::size_t i = aFrom; i < aTo; ++i) {
    asked += aSeconds[i].mRequests;
    inTime += aSeconds[i].mInTime;
  }
  return inTime / std::max(asked, 1.0);
}

} // namespace auburnmux::placing
