#pragma once

#include "base/Base.h"
#include "carriage/Carriage.h"
#include "entry/src/Dispatcher.h"
#include "entry/src/EntrySettings.h"
#include "entry/src/Translator.h"
#include "http/Http.h"
#include "placing/Placing.h"
#include "retries/Retries.h"
#include "routing/Routing.h"
#include "telemetry/Telemetry.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace auburnmux::entry {

/** Upstreams that a request may crash before it is refused everywhere. */
constexpr std::uint32_t kCrashes = 3;

/** What the requests of one host share. It outlives them. */
struct Services
{
  http::Loop& mLoop;
  http::Client& mClient;
  telemetry::Metrics& mMetrics;
  const Translator& mTranslator;
  const EntrySettings& mSettings;
  routing::RouteTable mRoutes{};
  routing::SplitSelector mSplits{};
  placing::Placement mPlacement;
  Dispatcher mDispatcher{ mLoop, mPlacement };
  std::unordered_map<base::UpstreamId, http::Endpoint> mEndpoints{};
  std::map<base::ServiceId, carriage::WindowedRetryBudget> mBudgets{};
  /** Longest time that a client's request came with, by route. */
  std::unordered_map<routing::RouteId, base::Duration> mLongestTime{};
  /** Requests that may no longer be sent anywhere. */
  retries::CrashGuard mCrashes{ retries::QuarantineSettings{ kCrashes } };
  retries::StragglerPolicy mStragglers{};
  /** How long kept connections are trusted, by service. */
  std::unordered_map<base::ServiceId, retries::IdleTrust> mIdleTrust{};
  /** Tells the other hosts of a request that crashes upstreams. */
  std::function<void(const base::ServiceId&, const retries::CrashRecord&)>
    mReportCrash{};
  /** Hosts that share bounds, this one included. */
  std::size_t mSharers = 1;
  /** Whether this host is stopping and takes no more requests. */
  bool mIsClosing = false;
  /** Whether this host was told to stop. */
  bool mIsStopping = false;
  std::size_t mOpenRequests = 0;

  /** \returns the budget of repeats to \a aService. */
  carriage::WindowedRetryBudget& Budget(const base::ServiceId& aService)
  {
    return mBudgets.try_emplace(aService, mSettings.mRepeats).first->second;
  }
};

} // namespace auburnmux::entry
