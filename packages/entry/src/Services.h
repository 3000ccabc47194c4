#pragma once

#include "base/Base.h"
#include "buffering/Buffering.h"
#include "carriage/Carriage.h"
#include "cluster/Cluster.h"
#include "crashes/Crashes.h"
#include "entry/src/Dispatcher.h"
#include "entry/src/EntrySettings.h"
#include "entry/src/QuotaNode.h"
#include "entry/src/Translator.h"
#include "http/Http.h"
#include "placing/Placing.h"
#include "retries/Retries.h"
#include "routing/Routing.h"
#include "telemetry/Telemetry.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace auburnmux::entry {

class RequestForwarder;

/** State shared by all requests of one host; it must outlive them. */
struct Services
{
  /** Number of upstreams that a request may crash before all hosts refuse it.
   */
  static constexpr std::uint32_t kCrashThreshold = 3;

  http::Loop& mLoop;
  http::Client& mClient;
  telemetry::Metrics& mMetrics;
  const Translator& mTranslator;
  const EntrySettings& mSettings;
  /** Bytes held for slow clients and upstreams. */
  const std::shared_ptr<buffering::HeldBytes> mHeld;
  const buffering::HoldPolicy mHoldPolicy;
  /** Open requests with a body above the minimum bound of an exchange. */
  std::set<RequestForwarder*> mLargeBodies{};
  routing::RouteTable mRoutes{};
  routing::SplitSelector mSplits{};
  placing::Placement mPlacement;
  Dispatcher mDispatcher{ mLoop, mPlacement };
  std::unordered_map<base::UpstreamId, http::Endpoint> mEndpoints{};
  std::map<base::ServiceId, carriage::WindowedRetryBudget> mRetryBudgets{};
  /** Longest time left that a request arrived with, by route. */
  std::unordered_map<routing::RouteId, base::Duration> mMaxTimeLeft{};
  crashes::CrashWatch mCrashes{ mLoop, mClient, mMetrics,
                                [this](const base::UpstreamId& aId) {
                                  return FindStaying(aId);
                                },
                                kCrashThreshold };
  retries::StragglerPolicy mStragglers{};
  /** Set before the first request. */
  QuotaNode* mQuotas = nullptr;
  routing::Confirmation mConfirmation{};
  /** Whether another host has had a newer version for longer than versions take
   * to spread. */
  cluster::StateLag mVersionLag{ std::chrono::milliseconds(500) };
  /** Limits of the idle time of reused connections, by service. */
  std::unordered_map<base::ServiceId, retries::IdleReuseLimit>
    mIdleReuseLimits{};
  /** Reports that an upstream announced its shutdown in a response to a request
   * that was sent at the given time. */
  std::function<void(const base::UpstreamId&, base::TimePoint)>
    mReportLeaving{};
  /** Number of hosts that share cluster-wide limits, this one included. */
  std::size_t mSharers = 1;
  /** Whether this host is stopping and refuses new requests. */
  bool mRefusesRequests = false;
  /** Whether this host was told to stop. */
  bool mIsStopping = false;
  /** When this host exits; unset until it is told to stop. */
  std::optional<base::TimePoint> mExitAt{};
  std::set<RequestForwarder*> mRequests{};

  /** \returns whether a route or a key that is missing in the configuration
   * doesn't exist, as no newer version is likely to be in force elsewhere. */
  bool IsConfigurationCurrent(base::TimePoint aNow) const
  {
    return mConfirmation.IsRecent(aNow) && !IsVersionBehind(aNow);
  }
  bool IsVersionBehind(base::TimePoint aNow) const
  {
    return mVersionLag.IsBehind(aNow,
                                cluster::VersionPosition(mRoutes.Version()));
  }
  /** \returns how much an exchange may hold now of a response, or of a body
   * that is sent while it arrives. */
  base::ByteCount ExchangeBound() const
  {
    return mHoldPolicy.ExchangeBound(mHeld->Total());
  }

  /** \returns the endpoint of an upstream; none if it is unknown or leaves. */
  std::optional<http::Endpoint> FindStaying(const base::UpstreamId& aId) const
  {
    const auto it = mEndpoints.find(aId);
    const bool isStaying = it != mEndpoints.end() && !mPlacement.IsLeaving(aId);
    return isStaying ? std::optional(it->second) : std::nullopt;
  }
  /** \returns the retry budget of \a aService. */
  carriage::WindowedRetryBudget& RetryBudget(const base::ServiceId& aService)
  {
    return mRetryBudgets.try_emplace(aService, mSettings.mRetryBudget)
      .first->second;
  }
};

} // namespace auburnmux::entry
