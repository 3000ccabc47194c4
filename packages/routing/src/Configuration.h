#pragma once

#include "base/Base.h"
#include "customers/Customers.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnmux::routing {

using RouteId = base::StrongId<struct RouteIdTag>;
/** Importance of a route's requests; 0 is the highest. */
using Rank = base::Quantity<struct RankTag, std::uint32_t>;
/** Share of a route's requests, relative to the other parts of its split. */
using Weight = base::Quantity<struct WeightTag, std::uint32_t>;

/** How often a request on a route may run. */
enum class RequestKind : std::uint8_t
{
  /** May run more than once. */
  Idempotent,
  /** May run at most once. */
  Once,
  /** May run at most once and has a large body. */
  Upload
};

/** A service that receives a share of a route's requests. */
struct SplitPart
{
  base::ServiceId mService;
  Weight mWeight{ 1 };
};

/** How requests of one host name and path prefix are handled. */
struct Route
{
  RouteId mId;
  /** In lower case. */
  std::string mHost;
  /** Begins and ends with a slash. */
  std::string mPathPrefix;
  RequestKind mKind = RequestKind::Once;
  /** Limit on the time until the caller gets a response; none if unset. */
  std::optional<base::Duration> mTimeout;
  /** Time within which the caller wants the response. */
  base::Duration mLatencyTarget = std::chrono::seconds(1);
  Rank mRank;
  /** One part for a route without a split. */
  std::vector<SplitPart> mParts;
  /** Upstreams to which one request may be sent. */
  std::uint32_t mMaxAttempts = 1;
  /** Whether an upstream that recently handled an object handles it faster. */
  bool mHasAffinity = false;
  /** Regions in which requests may be handled; empty allows all. */
  std::vector<base::RegionId> mAllowedRegions;
  /** Whether requests need no key where customers are configured. */
  bool mAllowsAnonymous = false;
};

/** Health check path and load limits of the upstreams of a service. */
struct ServicePolicy
{
  std::string mHealthPath = "/";
  /** Connections that one upstream accepts from all callers together. */
  base::ConnectionCount mMaxConnections{ 1000 };
  /** How long an upstream stays cold after its start. */
  base::Duration mColdTime{};
  /** Limit on the requests a second to a cold upstream; 0 means no limit. */
  double mColdRate = 0;
};

/** Limits on the sizes and times of callers' requests. */
struct RequestLimits
{
  base::ByteCount mMaxHead{ 16384 };
  base::ByteCount mMaxBody{ std::uint64_t{ 64 } << 20U };
  base::Duration mHeadTimeout = std::chrono::seconds(3);
  base::Duration mIdleTimeout = std::chrono::seconds(15);
};

/** Routes, service policies, request limits and customers of one version. */
struct Configuration
{
  base::ConfigVersion mVersion;
  std::vector<Route> mRoutes;
  std::map<base::ServiceId, ServicePolicy> mServices;
  RequestLimits mLimits;
  /** None if the configuration has no table of customers: requests then need
   * no key. An empty table means that nobody has one. */
  std::optional<customers::CustomerTable> mCustomers;
};

} // namespace auburnmux::routing
