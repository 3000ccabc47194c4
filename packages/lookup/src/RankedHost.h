#pragma once

#include "base/Base.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburnmux::lookup {

/** Maximum number of hosts in one lookup answer. */
inline constexpr std::size_t kMaxHostsPerLookup = 4;
/** Maximum number of these in the client's own data centre, while other data
 * centres have hosts too. */
inline constexpr std::size_t kMaxLocalHostsPerLookup = 2;
/** Maximum number of hosts in a ranking. */
inline constexpr std::size_t kMaxRankedHosts = 4096;
/** Maximum number of data centres in a ranking. */
inline constexpr std::size_t kMaxCentres = 255;

/** Client blocks are hashed evenly into this many buckets. All blocks of a
 * bucket get the same ranking. */
inline constexpr std::uint32_t kBucketCount = 4096;

/** Whether lookups may name a host. */
enum class HostEligibility
{
  /** Named whenever it ranks high enough. */
  Usable,
  /** Named only while no host is usable. */
  Suspect,
  /** Leaving or dead; never named. */
  Excluded
};

/** Input of the ranking for one host. */
struct RankedHost
{
  base::HostId mId;
  base::Incarnation mIncarnation;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  HostEligibility mEligibility = HostEligibility::Usable;
  /** Relative share of the load within the data centre; greater than 0. */
  double mWeight = 1.0;
};

/** Argument of `HostRanking::Host`; valid until the next update. */
using HostIndex = base::Quantity<struct HostIndexTag, std::uint16_t>;
/** Index of a data centre in a ranking; stable for the ranking's lifetime. */
using CentreIndex = base::Quantity<struct CentreIndexTag, std::uint16_t>;
/** Hash of a client block. \sa HashBlock */
using BlockHash = base::Quantity<struct BlockHashTag>;

/** The hosts that a client should use, best first. */
struct LookupDecision
{
  std::array<HostIndex, kMaxHostsPerLookup> mHosts{};
  std::size_t mCount = 0;
  /** How long the client may use this answer. */
  base::Duration mLifetime{};
};

} // namespace auburnmux::lookup
