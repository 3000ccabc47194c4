#pragma once

#include "lookup/src/CentreOrder.h"
#include "lookup/src/CentreRanking.h"
#include "lookup/src/RankedHost.h"
#include "lookup/src/WeightRamp.h"

#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnmux::lookup {

/** Lifetimes of lookup answers and timing of the weight ramps. */
struct RankingSettings
{
  /** How long clients may use an answer that names usable hosts. */
  base::Duration mLifetime = std::chrono::seconds(5);
  /** Lifetime while no host is usable and suspected hosts are named. */
  base::Duration mFallbackLifetime = std::chrono::seconds(1);
  /** Time in which a returning host ramps up to its full weight. */
  base::Duration mRampTime = std::chrono::seconds(20);
  /** Hosts first seen within this time after creation don't ramp up. */
  base::Duration mRampFreeTime = std::chrono::seconds(5);
};

/**
 * Chooses the hosts that a client should use: usable hosts of the client's
 * data centre first, then of its region, then all others. Each group is ordered
 * by weighted rendezvous hashing of (client block, host). Rankings are
 * precomputed per data centre and bucket, so a lookup only combines them.
 */
class HostRanking
{
public:
  HostRanking(const RankingSettings& aSettings, base::TimePoint aNow);

  /**
   * Replaces the list of hosts. Only data centres whose hosts changed are
   * ranked again. Hosts beyond the first `kMaxRankedHosts` are ignored.
   */
  void SetHosts(base::TimePoint aNow, const std::vector<RankedHost>& aHosts);
  /** Advances the weight ramps. Call it about once a second. */
  void OnTick(base::TimePoint aNow);

  /** \returns the index of \a aId; none if no eligible host was ever in it. */
  std::optional<CentreIndex> FindCentre(const base::DataCentreId& aId) const;
  /**
   * Chooses the hosts for a client of \a aCentre. Without a data centre all
   * hosts count as remote.
   */
  LookupDecision Decide(std::optional<CentreIndex> aCentre,
                        BlockHash aBlock) const;

  /** \pre \a aIndex comes from a Decide() call after the last SetHosts() */
  const RankedHost& Host(HostIndex aIndex) const;

private:
  /** Assigns each host an index that it keeps while it is in the list. */
  void AssignIndexes(const std::vector<RankedHost>& aHosts);
  /** \returns the index of the data centre; `kMaxCentres` if none is free. */
  std::uint16_t FindOrAddCentre(const RankedHost& aHost);
  void Rebuild(base::TimePoint aNow);
  /** Appends the best hosts of the client's own data centre. */
  void AddLocal(const CentreRanking& aCentre, std::uint32_t aBucket,
                LookupDecision& aDecision) const;
  /** Appends the best host of each other data centre, the client's region
   * first. */
  void AddRemote(const CentreRanking* aLocal, std::uint32_t aBucket,
                 LookupDecision& aDecision) const;

  RankingSettings mSettings;
  WeightRamp mWeightRamp;
  /** Indexed by HostIndex; unused entries are empty and excluded. */
  std::vector<RankedHost> mHosts;
  std::unordered_map<base::HostId, std::uint16_t> mHostIndex;
  std::unordered_map<base::DataCentreId, std::uint16_t> mCentreIndex;
  std::vector<CentreRanking> mCentres;
  CentreOrder mCentreOrder;
  /** Whether suspected hosts are named because no host is usable. */
  bool mIsFallback = false;
};

/** \returns the hash that selects the bucket of the client block. */
BlockHash HashBlock(std::string_view aBlock);
BlockHash HashBlock(std::uint64_t aPrefix);

} // namespace auburnmux::lookup
