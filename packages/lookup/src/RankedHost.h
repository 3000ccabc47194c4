#pragma once

#include "base/Base.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburnmux::lookup {

/** Hosts that one look-up names at most. */
inline constexpr std::size_t kMaxListed = 4;
/** Hosts of the client's own data centre among them. */
inline constexpr std::size_t kMaxListedLocal = 2;
/** Hosts and data centres that a ranking accepts. */
inline constexpr std::size_t kMaxRankedHosts = 4096;
inline constexpr std::size_t kMaxCentres = 255;

/** Client blocks are ranked in this many groups of equal probability. */
inline constexpr std::uint32_t kBuckets = 4096;

enum class HostFitness
{
  Usable,
  Suspect,
  /** Leaving or dead. */
  Excluded
};

/** A host that look-ups may name. */
struct RankedHost
{
  base::HostId mId;
  base::Incarnation mIncarnation;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  HostFitness mFitness = HostFitness::Usable;
  /** Relative share of the work within the data centre; above 0. */
  double mWeight = 1.0;
};

/** Index of a host in `HostRanking::Host`; valid until the next update. */
using HostIndex = base::Quantity<struct HostIndexTag, std::uint16_t>;
/** Index of a data centre in a ranking; stable for the ranking's life. */
using CentreIndex = base::Quantity<struct CentreIndexTag, std::uint16_t>;
/** Hash of a client's block. \sa HashBlock */
using BlockHash = base::Quantity<struct BlockHashTag>;

/** The hosts a client is to use, best first. */
struct LookupDecision
{
  std::array<HostIndex, kMaxListed> mHosts{};
  std::size_t mCount = 0;
  /** How long the client may use it. */
  base::Duration mLifetime{};
};

} // namespace auburnmux::lookup
