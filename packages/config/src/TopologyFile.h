#pragma once

#include "base/Base.h"
#include "config/src/ParseReport.h"
#include "config/src/ServiceFile.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnmux::config {

/** How many entry hosts may ever run somewhere at the same time. */
using HostSlotCount = base::Quantity<struct HostSlotCountTag, std::uint32_t>;

struct DataCentre
{
  base::DataCentreId mName;
  HostSlotCount mHostSlots;
  base::Place mPlace;
};

struct Region
{
  base::RegionId mName;
  std::vector<DataCentre> mDataCentres;
  base::Place mPlace;
};

/** Measured one-way delay between two data centres, in either direction. */
struct DelayOverride
{
  base::DataCentreId mLeft;
  base::DataCentreId mRight;
  std::chrono::microseconds mOneWay{ 0 };
  base::Place mPlace;
};

/** One-way delays between data centres that have no override. */
struct Delays
{
  std::chrono::microseconds mInRegion{ 1'000 };
  std::chrono::microseconds mBetweenRegions{ 20'000 };
  std::vector<DelayOverride> mOverrides;
};

/** Limit of the link between two regions, each way, for all traffic. */
struct Link
{
  base::RegionId mLeft;
  base::RegionId mRight;
  MegabitsPerSecond mLimit;
  base::Place mPlace;
};

/** An IPv4 prefix; the bits past the length are zero. */
struct AddressPrefix
{
  std::uint32_t mAddress = 0;
  std::uint8_t mLength = 0;

  /** \returns `A.B.C.D/LENGTH`. */
  std::string Text() const;
};

/** \returns the prefix written as `A.B.C.D/LENGTH`, or nothing. */
std::optional<AddressPrefix> ParseAddressPrefix(const std::string& aText);

using SiteId = base::StrongId<struct SiteIdTag>;

/** A place where clients are, and the data centre nearest to it. */
struct Site
{
  SiteId mName;
  base::DataCentreId mDataCentre;
  std::vector<AddressPrefix> mBlocks;
  base::Place mPlace;
};

/** The one topology.json; docs/settings.md lists keys and bounds. */
struct TopologyFile
{
  std::vector<Region> mRegions;
  Delays mDelays;
  std::vector<Link> mLinks;
  std::vector<Site> mSites;
  /** How long a caller may use the answer to a look-up. */
  std::chrono::milliseconds mLookupLifetime{ 5'000 };
  base::Place mPlace;

  const DataCentre* FindDataCentre(const base::DataCentreId& aName) const;
  /** \returns the region of a data centre, or null. */
  const Region* RegionOf(const base::DataCentreId& aName) const;
  const Region* FindRegion(const base::RegionId& aName) const;
  /** \returns the hosts that may ever run in the region; 0 if unknown. */
  HostSlotCount HostSlotsOfRegion(const base::RegionId& aName) const;
  /** \returns the delay between two known data centres; 0 within one. */
  std::chrono::microseconds OneWayDelay(const base::DataCentreId& aLeft,
                                        const base::DataCentreId& aRight) const;
  /** \returns the limit of the link, or nothing when none is stated. */
  std::optional<MegabitsPerSecond> LinkLimit(
    const base::RegionId& aLeft, const base::RegionId& aRight) const;
};

/**
 * Parses a topology file.
 * \returns the topology; it is usable only when \a aReport is good.
 */
TopologyFile ParseTopologyFile(std::string_view aText, const std::string& aFile,
                               ParseReport& aReport);

} // namespace auburnmux::config
