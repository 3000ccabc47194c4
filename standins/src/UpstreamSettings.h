#pragma once

#include "standins/src/Exchange.h"

#include <cstdint>
#include <string>

namespace auburnmux::standins {

/** How one upstream behaves. */
struct UpstreamSettings
{
  base::ServiceId mService{ "service" };
  base::UpstreamId mId{ "upstream" };
  http::Endpoint mListen;
  base::SlotCount mSlots{ 9 };
  base::ConnectionCount mConnections{ 400 };
  /** Requests that wait inside the upstream for a slot. */
  std::size_t mQueueLimit = 4;

  base::Duration mMeanTime = std::chrono::milliseconds(50);
  /** Standard deviation of the logarithm of the service time. */
  double mSigma = 0.3;
  double mStragglerFraction = 0.0;
  double mStragglerFactor = 20.0;
  /** Service times start at this factor and fall to 1 over the cold start. */
  double mColdFactor = 3.0;
  base::Duration mColdStart{};

  double mSlowFactor = 1.0;
  double mShedFraction = 0.0;
  base::Duration mDrainGrace = std::chrono::seconds(2);
  base::Duration mRestartTime = std::chrono::seconds(2);
  base::Duration mReportLag = std::chrono::seconds(5);
  /** The load report says 0 whatever the load. */
  bool mReportsFalsely = false;
  std::uint64_t mSeed = 1;
};

/**
 * \returns one copy of \a aDefaults for each entry of the list "upstreams" of
 * a service file, with the fields that the entry sets. \throws Json::exception
 */
std::vector<UpstreamSettings> ReadServiceFile(
  const Json& aFile, const UpstreamSettings& aDefaults);

/** \returns \a aCount copies on consecutive addresses of one port. */
std::vector<UpstreamSettings> OnConsecutiveAddresses(
  const UpstreamSettings& aFirst, std::uint32_t aCount);

} // namespace auburnmux::standins
