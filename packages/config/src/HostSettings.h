#pragma once

#include "base/Base.h"
#include "config/src/Endpoint.h"
#include "config/src/ParseReport.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnmux::config {

/** Another entry host that a starting host contacts first. */
struct Seed
{
  base::HostId mHost;
  Endpoint mPeer;
};

/** CURVE key pair shared by the fleet, as Z85 texts of 40 characters. */
struct FleetKey
{
  std::string mPublic;
  std::string mSecret;
};

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning
};

/** Bounds on what one host stores for callers. */
struct HostLimits
{
  base::ByteCount mHead{ 16'384 };
  base::ByteCount mBody{ 67'108'864 };
  base::ByteCount mQueue{ 33'554'432 };
};

/** Settings of one entry host; docs/settings.md lists keys and bounds. */
struct HostSettings
{
  base::HostId mHost;
  base::RegionId mRegion;
  base::DataCentreId mDataCentre;
  Endpoint mListen;
  Endpoint mPeer;
  Endpoint mPlatform;
  std::vector<Seed> mSeeds;
  /** Without it the peer connections are plain. */
  std::optional<FleetKey> mFleetKey;
  std::chrono::seconds mDrainLimit{ 30 };
  LogLevel mLogLevel = LogLevel::Info;
  HostLimits mLimits;
};

/**
 * Parses a host's settings file.
 * \returns the settings; they are usable only when \a aReport is good.
 */
HostSettings ParseHostSettings(std::string_view aText, const std::string& aFile,
                               ParseReport& aReport);

} // namespace auburnmux::config
