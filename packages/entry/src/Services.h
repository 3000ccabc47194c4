#pragma once

#include "base/Base.h"
#include "carriage/Carriage.h"
#include "entry/src/Dispatcher.h"
#include "entry/src/EntrySettings.h"
#include "entry/src/Translator.h"
#include "http/Http.h"
#include "placing/Placing.h"
#include "routing/Routing.h"
#include "telemetry/Telemetry.h"

#include <map>
#include <string>
#include <unordered_map>

namespace auburnmux::entry {

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
  std::map<base::ServiceId, carriage::WindowBudget> mBudgets{};
  /** Longest time that a client's request came with, by route. */
  std::unordered_map<routing::RouteId, base::Duration> mLongestTime{};
  /** Hosts that share bounds, this one included. */
  std::size_t mHosts = 1;
  /** Whether this host was told to stop. */
  bool mIsStopping = false;
  std::size_t mOpenRequests = 0;

  /** \returns the budget of repeats to \a aService. */
  carriage::WindowBudget& Budget(const base::ServiceId& aService)
  {
    return mBudgets.try_emplace(aService, mSettings.mRepeats).first->second;
  }
};

} // namespace auburnmux::entry
