#pragma once

#include "config/Config.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnmux::tool {

/** Requests in flight or waiting. */
using RequestCount = base::Quantity<struct RequestCountTag>;

/** What a host reports about one service. */
struct ServiceStatus
{
  base::ServiceId mService;
  RequestCount mInFlight;
  RequestCount mQueued;
  /** State of each upstream, e.g. "ready" or "ejected". */
  std::vector<std::string> mUpstreamStates;
};

/** The part of a host's `GET /v1/status` that the tool shows. */
struct HostStatus
{
  base::HostId mHost;
  base::DataCentreId mDataCentre;
  bool mIsReady = false;
  bool mIsLeaving = false;
  config::VersionTag mConfig;
  /** Age of the configuration in force, in s. */
  double mConfigAge = 0;
  bool mIsConfirmed = false;
  /** State of each peer, e.g. "alive". */
  std::vector<std::string> mPeerStates;
  /** Addresses of the hosts that it knows, where it reports them. */
  std::vector<std::string> mPeerAddresses;
  std::vector<ServiceStatus> mServices;
};

/** Reads the answer of `GET /v1/status`; unknown keys are ignored. */
std::optional<HostStatus> ParseHostStatus(std::string_view aText);

} // namespace auburnmux::tool
