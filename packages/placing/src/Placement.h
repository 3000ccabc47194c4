#pragma once

#include "placing/src/HomeShare.h"
#include "placing/src/LoadMeter.h"
#include "placing/src/LoadReport.h"
#include "placing/src/PlacingSettings.h"
#include "placing/src/ShiftLimiter.h"
#include "placing/src/TokenBucket.h"
#include "placing/src/UpstreamGauge.h"
#include "placing/src/WarmObjects.h"
#include "placing/src/WorkEstimates.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace auburnmux::placing {

/** An upstream as the placement sees it. */
struct UpstreamSpec
{
  base::UpstreamId mId;
  base::ServiceId mService;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  base::SlotCount mSlots;
  /** Requests a second that all hosts may send it while it is cold; 0 has no
   * limit. */
  double mColdRate = 0;
};

/** A request that needs an upstream. */
struct PlaceRequest
{
  base::ServiceId mService;
  /** Names what kind of work it is, for the estimate of its time. */
  std::string mKind;
  std::optional<ObjectHash> mObject;
  base::Duration mLatencyTarget{};
  /** Time after which a response is of no use. */
  base::Duration mTimeLeft{};
  /** Bytes that travel to the upstream and back. */
  base::ByteCount mBytes;
  /** Regions that may handle it; empty allows all. */
  std::vector<base::RegionId> mAllowedRegions;
  /** Whether Place() was called for it before. */
  bool mIsPlacedBefore = false;
  /** Upstreams that were tried already. */
  std::vector<base::UpstreamId> mTried;
  /** Where an attempt takes too long; another upstream that has the object at
   * hand is better, as this one may be slow for the moment. */
  std::optional<base::UpstreamId> mStraggling;
};

/** The upstream that serves the request best. */
struct Placed
{
  base::UpstreamId mUpstream;
  Warmth mWarmth = Warmth::None;
  /** Time until the response, as estimated. */
  base::Duration mExpected{};
  /** The part of it that is work. */
  base::Duration mExpectedWork{};
};

/** The upstream that would serve it best has no room for now. */
struct Wait
{
  base::UpstreamId mUpstream;
  /** Time from sending to the response, as estimated. */
  base::Duration mService{};
};

/** No upstream could answer in time. */
struct NoRoom
{
  /** When there is likely to be room. */
  base::Duration mRetryAfter{};
};

/** No upstream may be used at all. */
struct NoUpstream
{
  base::Duration mRetryAfter{};
};

using PlaceDecision = std::variant<Placed, Wait, NoRoom, NoUpstream>;

/** Hosts that send to the same upstreams, this one included. */
struct HostCounts
{
  /** Live hosts of all regions. */
  std::size_t mLive = 1;
  /** Live hosts of this host's region. Those of other regions send to its
   * upstreams only when theirs are full. */
  std::size_t mRegion = 1;
  /** Hosts that may be using their part of a shared bound, be they live or
   * only cut off. */
  std::size_t mSharers = 1;
  /** Live hosts of this host's data centre. */
  std::size_t mCentre = 1;
  /** Data centres of this host's region. */
  std::size_t mRegionCentres = 1;
  std::size_t mRegions = 1;
};

/** How a request ended at its upstream. */
struct PlacedResult
{
  base::UpstreamId mUpstream;
  Outcome mOutcome = Outcome::Abandoned;
  Warmth mWarmth = Warmth::None;
  /** From sending to the response, or until it was overtaken; unset without
   * either. */
  std::optional<base::Duration> mElapsed;
  /** Work that was expected, see Placed. */
  base::Duration mExpectedWork{};
  std::optional<LoadReport> mReport;
};

/**
 * Chooses the upstream of each request by the time until its response: round
 * trip, wait for a slot, work, and the delay that a likely failure costs. Work
 * on an object is faster where the object was handled lately, so that all
 * hosts agree on an order of upstreams for each object (rendezvous hashing)
 * and leave its first one only when waiting there would cost more.
 */
class Placement
{
public:
  Placement(PlacingSettings aSettings, base::DataCentreId aHere,
            base::RegionId aRegion);
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  void Add(base::TimePoint aNow, const UpstreamSpec& aSpec,
           base::Duration aColdFor);
  void Remove(base::TimePoint aNow, const base::UpstreamId& aId);
  /** The upstream gets no new requests. */
  void SetLeaving(base::TimePoint aNow, const base::UpstreamId& aId);
  /** The upstream is cold for another \a aColdFor. */
  void SetCold(base::TimePoint aNow, const base::UpstreamId& aId,
               base::Duration aColdFor);
  /**
   * Data centres that get nothing. The upstreams of one that is taken back
   * count as cold for \a aColdFor.
   */
  void SetEvacuated(base::TimePoint aNow, std::set<base::DataCentreId> aCentres,
                    base::Duration aColdFor);
  /** Takes the services' limits on requests to cold upstreams. */
  void SetColdRates(
    const std::function<double(const base::ServiceId&)>& aRateOf);
  /** Takes how many hosts there are. */
  void SetHostCounts(const HostCounts& aCounts);
  /** Takes a measured round trip to the upstream's data centre. */
  void OnTrip(const base::UpstreamId& aUpstream, base::Duration aTrip);

  /**
   * Forgets which requests wait. To be called before all waiting requests are
   * placed anew, in the order in which they are to be served.
   */
  void BeginRound();
  /** Chooses an upstream and counts the request there, as sent or as waiting
   * until the next round. */
  PlaceDecision Place(base::TimePoint aNow, const PlaceRequest& aRequest);
  /** Ends a placed request. */
  void OnResult(base::TimePoint aNow, const PlaceRequest& aRequest,
                const PlacedResult& aResult);

  /** \returns paused upstreams whose health check is due. */
  std::vector<base::UpstreamId> DueChecks(base::TimePoint aNow);
  /** Ends a health check. \param aColdFor as the upstream said, if it did */
  void OnCheck(base::TimePoint aNow, const base::UpstreamId& aId,
               bool aIsHealthy, base::Duration aColdFor);

  /** \returns the service of an upstream; none when it is unknown. */
  std::optional<base::ServiceId> ServiceOf(const base::UpstreamId& aId) const;
  /** \returns the gauge of an upstream, or null. */
  const UpstreamGauge* Gauge(const base::UpstreamId& aId) const;

private:
  struct Upstream
  {
    UpstreamSpec mSpec;
    UpstreamGauge mGauge;
    std::uint64_t mHash = 0;
    bool mIsLeaving = false;
    bool mIsEvacuated = false;
    base::TimePoint mColdUntil;
    TokenBucket mColdTokens;
    WarmObjects mWarm;
    /** Requests that this host holds back for it. */
    std::uint32_t mQueued = 0;
  };
  struct Candidate
  {
    Upstream* mUpstream = nullptr;
    Warmth mWarmth = Warmth::None;
    base::Duration mCost = base::Duration::max();
    base::Duration mExpected{};
    base::Duration mWork{};
    bool mHasRoom = false;
    /** Whether the response would come too late. */
    bool mIsHopeless = false;
  };
  using Group = std::vector<Upstream*>;
  struct Service
  {
    Group mUpstreams;
    /** Share of failures over all its upstreams. */
    FailureMeter mFailures{ kServiceSampleWeight };
    LoadMeter mLoad;
    HomeShare mHomes;
    base::TimePoint mHomesUpdated;
  };
  /** What holds for all upstreams that a request may go to. */
  struct Outlook
  {
    Group mHomes;
    std::optional<double> mUsualLoad;
    double mUsualFailures = 0;
  };
  static constexpr double kServiceSampleWeight = 0.02;

  Upstream* Find(const base::UpstreamId& aId);
  /** \returns whether it takes requests of the kind at all. */
  bool IsAllowed(const Upstream& aUpstream, const PlaceRequest& aRequest) const;
  bool IsUsable(base::TimePoint aNow, const Upstream& aUpstream,
                const PlaceRequest& aRequest) const;
  /** \returns the upstreams at which all hosts of this region expect the
   * object, best first: two of the region where its home is, one of the
   * others. */
  Group Homes(const Service& aService, const PlaceRequest& aRequest) const;
  /** Follows demand and supply with the share of objects at home here. */
  void UpdateHomeShare(base::TimePoint aNow, Service& aService);
  Outlook MakeOutlook(base::TimePoint aNow, const Service& aService,
                      const PlaceRequest& aRequest) const;
  Warmth WarmthOf(const Upstream& aUpstream, const PlaceRequest& aRequest,
                  const Group& aHomes) const;
  /** \returns the price of leaving an object's home, in latency targets. */
  double StrayTargets(Warmth aWarmth, std::optional<double> aUsualLoad) const;
  Candidate BestOf(base::TimePoint aNow, const Service& aService,
                   const PlaceRequest& aRequest) const;
  Candidate Rate(base::TimePoint aNow, Upstream& aUpstream, Warmth aWarmth,
                 const PlaceRequest& aRequest, const Outlook& aOutlook) const;
  base::Duration Trip(const Upstream& aUpstream) const;
  base::Duration TransferCost(const Upstream& aUpstream,
                              base::ByteCount aBytes) const;
  double ColdRate(const UpstreamSpec& aSpec) const;

  PlacingSettings mSettings;
  base::DataCentreId mHere;
  base::RegionId mRegion;
  HostCounts mHosts;
  std::set<base::DataCentreId> mEvacuated;
  std::unordered_map<base::DataCentreId, base::Duration> mTrips;
  std::unordered_map<base::UpstreamId, std::unique_ptr<Upstream>> mUpstreams;
  std::unordered_map<base::ServiceId, Service> mServices;
  WorkEstimates mWork;
  ShiftLimiter mShift;
};

} // namespace auburnmux::placing
