#pragma once

#include "placing/src/LimitShare.h"
#include "placing/src/LoadMeter.h"
#include "placing/src/LoadReport.h"
#include "placing/src/LocalHomeShare.h"
#include "placing/src/PlacingSettings.h"
#include "placing/src/ShiftLimiter.h"
#include "placing/src/TokenBucket.h"
#include "placing/src/UnreportedLoad.h"
#include "placing/src/UpstreamTracker.h"
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

/** Retry-After without an estimate of the wait; otherwise added to it. */
constexpr base::Duration kDefaultRetryAfter = std::chrono::milliseconds(300);

/** Description of an upstream for the placement. */
struct UpstreamSpec
{
  base::UpstreamId mId;
  base::ServiceId mService;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  base::SlotCount mSlots;
  /** Requests per second that all hosts together may send it while it is cold;
   * 0 means no limit. */
  double mColdRate = 0;
};

/** A request that needs an upstream. */
struct PlaceRequest
{
  base::ServiceId mService;
  /** Kind of work, for the estimate of its work time. */
  std::string mKind;
  std::optional<ObjectHash> mObject;
  base::Duration mLatencyTarget{};
  /** Time after which a response is useless. */
  base::Duration mTimeLeft{};
  /** Size of the request and its response. */
  base::ByteCount mBytes;
  /** Size of its body, as far as is known. */
  base::ByteCount mBody;
  /** Regions that may handle it; empty allows all. */
  std::vector<base::RegionId> mAllowedRegions;
  /** Whether Place() was called for it before. */
  bool mIsPlacedBefore = false;
  /** Upstreams that are excluded because they were tried already. */
  std::vector<base::UpstreamId> mTried;
  /** Upstream of an attempt that takes too long. Another upstream that has the
   * object in memory is preferred, as this one may be temporarily slow. */
  std::optional<base::UpstreamId> mStraggling;
};

/** The request was placed at the upstream with the lowest cost. */
struct Placed
{
  base::UpstreamId mUpstream;
  Warmth mWarmth = Warmth::None;
  /** Estimated time until the response. */
  base::Duration mExpected{};
  /** Estimated work time, including the reported slowness. */
  base::Duration mExpectedWork{};
};

/** The upstream with the lowest cost has no room at the moment. */
struct Wait
{
  base::UpstreamId mUpstream;
  /** Estimated time from sending to the response. */
  base::Duration mResponseTime{};
  /** Whether work of this kind was measured before. */
  bool mIsMeasured = false;
};

/** No upstream is expected to respond in time. */
struct NoCapacity
{
  /** Time after which room is likely. */
  base::Duration mRetryAfter{};
};

/** No upstream is usable. */
struct NoUpstream
{
  base::Duration mRetryAfter{};
};

using PlaceDecision = std::variant<Placed, Wait, NoCapacity, NoUpstream>;

/** Numbers of hosts that send to the same upstreams, including this one. */
struct HostCounts
{
  /** Live hosts in all regions. */
  std::size_t mLive = 1;
  /** Live hosts in this host's region. Hosts in other regions send to its
   * upstreams only when their own are full. */
  std::size_t mRegion = 1;
  /** Hosts that may be using their part of a shared limit, including hosts that
   * are only unreachable. */
  std::size_t mSharers = 1;
  /** Live hosts in this host's data centre. */
  std::size_t mCentre = 1;
  /** Data centres in this host's region. */
  std::size_t mRegionCentres = 1;
  std::size_t mRegions = 1;
  /** This host, and all hosts among which limits named by upstreams are
   * divided. Without a list this host counts as the only one. */
  base::HostId mSelf;
  std::vector<LimitSharer> mLimitSharers;
};

/** A limit that an upstream named, and this host's part of it. */
struct NamedLimit
{
  /** Requests per second of all hosts together. */
  double mRate = 0;
  /** When a response last named it. */
  base::TimePoint mNamedAt;
  LimitShare mShare;
  TokenBucket mTokens{ 0, 1 };
};

/** How a request ended at its upstream. */
struct PlacedResult
{
  base::UpstreamId mUpstream;
  Outcome mOutcome = Outcome::Abandoned;
  Warmth mWarmth = Warmth::None;
  /** Time from sending until the response or until the attempt was replaced;
   * unset for other outcomes. */
  std::optional<base::Duration> mElapsed;
  /** Work time that was expected, see Placed. */
  base::Duration mExpectedWork{};
  std::optional<LoadReport> mReport;
  /** Bytes of its body that are still counted as in flight; the whole body if
   * unset. */
  std::optional<base::ByteCount> mBodyInFlight;
};

/**
 * Chooses the upstream of each request by its predicted response time: round
 * trip, wait for a slot, work, and penalties for transfer and likely failures.
 * Work is faster on upstreams that recently handled the same object. Therefore
 * all hosts agree on an order of upstreams for each object (rendezvous hashing)
 * and leave the first one only when waiting there would cost more.
 *
 * The members are defined in four files:
 * - Placement.cpp: the upstreams, the choice and its outcome
 * - PlacementHomes.cpp: the homes of objects
 * - PlacementCosts.cpp: round trips, and the cost of each candidate
 * - PlacementLimits.cpp: limits that upstreams name
 */
class Placement
{
public:
  Placement(PlacingSettings aSettings, base::DataCentreId aDataCentre,
            base::RegionId aRegion);
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  void Add(base::TimePoint aNow, const UpstreamSpec& aSpec,
           base::Duration aColdFor);
  void Remove(base::TimePoint aNow, const base::UpstreamId& aId);
  /** Stops sending new requests to the upstream. */
  void SetLeaving(base::TimePoint aNow, const base::UpstreamId& aId);
  /** Treats the upstream as cold for \a aColdFor from now. */
  void SetCold(base::TimePoint aNow, const base::UpstreamId& aId,
               base::Duration aColdFor);
  /**
   * Sets the data centres that get no requests. The upstreams of a data centre
   * that is no longer evacuated count as cold for at least \a aColdFor.
   */
  void SetEvacuated(base::TimePoint aNow, std::set<base::DataCentreId> aCentres,
                    base::Duration aColdFor);
  /** Sets the services' limits on requests to cold upstreams. */
  void SetColdRates(
    const std::function<double(const base::ServiceId&)>& aRateOf);
  /** Sets the numbers of hosts, which determine this host's part of limits. */
  void SetHostCounts(base::TimePoint aNow, const HostCounts& aCounts);
  /** The upstream rejected a request and wants no others for \a aTime. */
  void OnRetryAfter(base::TimePoint aNow, const base::UpstreamId& aId,
                    base::Duration aTime);
  /**
   * Applies a limit on the requests per second of all hosts together that an
   * upstream named in a response; none if it named no limit. A limit holds
   * until a response to a request sent at \a aSentAt, after the limit was last
   * named, doesn't name it: responses can arrive in another order. A host that
   * has no part of the limit forgets it after a minute.
   * \returns whether a limit was set, changed by more than a tenth, or lifted
   */
  bool OnLimit(base::TimePoint aNow, const base::UpstreamId& aId,
               std::optional<double> aLimit, base::TimePoint aSentAt);
  /** \returns this host's part of the upstream's limit, if it named one. */
  std::optional<LimitShare> LimitShareOf(const base::UpstreamId& aId) const;
  /** Records a measured round trip to the upstream's data centre. */
  void OnRoundTrip(const base::UpstreamId& aUpstream,
                   base::Duration aRoundTrip);

  /**
   * Resets the counts of waiting requests. Call it before calling Place() again
   * for all waiting requests, in their order of service.
   */
  void BeginRound();
  /** Chooses an upstream and counts the request there, either as sent or, until
   * the next round, as waiting. */
  PlaceDecision Place(base::TimePoint aNow, const PlaceRequest& aRequest);
  /** Records the end of a placed request. */
  void OnResult(base::TimePoint aNow, const PlaceRequest& aRequest,
                const PlacedResult& aResult);

  /** Changes how many bytes of a placed request's body are in flight to its
   * upstream; at first all are. */
  void SetBodyInFlight(const base::UpstreamId& aId, base::ByteCount aBefore,
                       base::ByteCount aNow);
  /** \returns the bytes of request bodies in flight to the upstream. */
  base::ByteCount BodyInFlight(const base::UpstreamId& aId) const;

  /** \returns paused upstreams whose health check is due, and schedules their
   * next one. */
  std::vector<base::UpstreamId> DueHealthChecks(base::TimePoint aNow);
  /** Records the result of a health check. \param aColdFor remaining cold time
   * that the upstream reported, if any */
  void OnHealthCheck(base::TimePoint aNow, const base::UpstreamId& aId,
                     bool aIsHealthy, base::Duration aColdFor);

  /** \returns the mean work time of the request's kind at upstreams that don't
   * have its object in memory. */
  base::Duration ExpectedWork(const PlaceRequest& aRequest) const;
  /** \returns what Place() would tell about a request that has to wait, without
   * a choice of its upstream. */
  Wait EstimateWait(const PlaceRequest& aRequest) const;
  /** \returns the service of an upstream; none if the upstream is unknown. */
  std::optional<base::ServiceId> ServiceOf(const base::UpstreamId& aId) const;
  /** \returns whether an upstream announced that it leaves. */
  bool IsLeaving(const base::UpstreamId& aId) const;
  /** \returns the tracker of an upstream; null if the upstream is unknown. */
  const UpstreamTracker* Tracker(const base::UpstreamId& aId) const;

private:
  struct Upstream
  {
    UpstreamSpec mSpec;
    UpstreamTracker mTracker;
    std::uint64_t mHash = 0;
    bool mIsLeaving = false;
    bool mIsEvacuated = false;
    base::TimePoint mColdUntil;
    TokenBucket mColdTokens;
    WarmObjects mWarm;
    /** Requests that wait on this host for the upstream. */
    std::uint32_t mQueued = 0;
    std::optional<NamedLimit> mLimit;
    /** Until when it wants no requests of this host. */
    base::TimePoint mRefusesUntil;
    /** Bytes of request bodies of this host that it has not taken yet. */
    base::ByteCount mBodyInFlight;
  };
  struct Candidate
  {
    Upstream* mUpstream = nullptr;
    Warmth mWarmth = Warmth::None;
    base::Duration mCost = base::Duration::max();
    base::Duration mExpected{};
    base::Duration mWork{};
    bool mHasCapacity = false;
    /** Whether the bodies in flight to it leave room for that of the request.
     */
    bool mFitsBody = true;
    /** Whether the upstream's limit doesn't allow another request now. */
    bool mIsLimited = false;
    /** Whether the response is expected too late to send the request. */
    bool mIsTooLate = false;
  };
  using Group = std::vector<Upstream*>;
  struct Service
  {
    Group mUpstreams;
    /** Failure share over all upstreams of the service. */
    FailureMeter mFailures{ kServiceSampleWeight };
    LoadMeter mLoad;
    UnreportedLoad mUnreportedLoad;
    /** Running mean of the work time; unset until the first response. */
    std::optional<base::Duration> mMeanWork;
    LocalHomeShare mLocalHomeShare;
    base::TimePoint mHomeShareUpdatedAt;
  };
  /** Data of a request that are the same for all candidate upstreams. */
  struct RequestContext
  {
    Group mHomes;
    /** Mean of the reported loads, in requests per slot. */
    std::optional<double> mMeanLoad;
    /** Estimated load of upstreams without a recent report. */
    std::optional<double> mUnreportedLoad;
    base::Duration mMeanWork{};
    double mMeanFailureShare = 0;
  };
  static constexpr double kServiceSampleWeight = 0.02;

  Upstream* Find(const base::UpstreamId& aId);
  /** \returns whether the upstream takes new requests and the request allows
   * its region. */
  bool IsAllowed(const Upstream& aUpstream, const PlaceRequest& aRequest) const;
  bool IsUsable(base::TimePoint aNow, const Upstream& aUpstream,
                const PlaceRequest& aRequest) const;
  /** \returns the object's homes in the order of rendezvous hashing, the same
   * for all hosts of this region. The first two are on the side, this region or
   * the others, that LocalHomeShare gives the object; one is on the other. */
  Group Homes(const Service& aService, const PlaceRequest& aRequest) const;
  /** Updates the share of objects whose home is in this region. */
  void UpdateHomeShare(base::TimePoint aNow, Service& aService);
  RequestContext MakeContext(base::TimePoint aNow, const Service& aService,
                             const PlaceRequest& aRequest) const;
  Warmth WarmthOf(const Upstream& aUpstream, const PlaceRequest& aRequest,
                  const Group& aHomes) const;
  /** \returns the penalty for an upstream that is neither the object's first
   * home nor used for it recently, as a multiple of the latency target. */
  double AffinityPenaltyTargets(Warmth aWarmth,
                                std::optional<double> aMeanLoad) const;
  Candidate BestCandidate(base::TimePoint aNow, const Service& aService,
                          const PlaceRequest& aRequest) const;
  Candidate Evaluate(base::TimePoint aNow, Upstream& aUpstream, Warmth aWarmth,
                     const PlaceRequest& aRequest,
                     const RequestContext& aContext) const;
  /** Records what the end of a request tells about the load. */
  void RecordLoad(base::TimePoint aNow, Upstream& aUpstream,
                  const PlacedResult& aResult);
  bool FitsBody(const Upstream& aUpstream, const PlaceRequest& aRequest) const;
  base::Duration RoundTrip(const Upstream& aUpstream) const;
  base::Duration TransferCost(const Upstream& aUpstream,
                              base::ByteCount aBytes) const;
  double ColdRate(const UpstreamSpec& aSpec) const;
  /** The upstream has become cold: its rate starts anew. */
  void StartColdTime(base::TimePoint aNow, Upstream& aUpstream) const;
  LimitShare ShareOf(const Upstream& aUpstream, double aLimit) const;
  /** \returns when the first upstream of a service that has none to use takes
   * requests again, as far as that is known. */
  static base::Duration TimeUntilUsable(base::TimePoint aNow,
                                        const Service& aService);
  /** \returns whether this host has no part of the upstream's limit. */
  static bool IsShutOut(base::TimePoint aNow, const Upstream& aUpstream);
  /** \returns the time until the upstream's limit allows another request,
   * behind those that wait on this host for it. */
  static base::Duration LimitWait(base::TimePoint aNow,
                                  const Upstream& aUpstream);

  PlacingSettings mSettings;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  HostCounts mHostCounts;
  std::set<base::DataCentreId> mEvacuated;
  std::unordered_map<base::DataCentreId, base::Duration> mRoundTrips;
  std::unordered_map<base::UpstreamId, std::unique_ptr<Upstream>> mUpstreams;
  std::unordered_map<base::ServiceId, Service> mServices;
  WorkEstimates mWorkEstimates;
  ShiftLimiter mShiftLimiter;
};

} // namespace auburnmux::placing
