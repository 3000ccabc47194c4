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

/** Times of the look-up answers. */
struct RankingSettings
{
  base::Duration mLifetime = std::chrono::seconds(5);
  /** Lifetime while no host is usable and suspects are named. */
  base::Duration mFallbackLifetime = std::chrono::seconds(1);
  /** Time over which a returning host grows to its full weight. */
  base::Duration mRamp = std::chrono::seconds(20);
  /** Hosts found this early in the ranking's life don't ramp. */
  base::Duration mSettle = std::chrono::seconds(5);
};

/**
 * Chooses the hosts that a client is to use: usable hosts of the client's
 * data centre first, then of its region, then others, each group in weighted
 * rendezvous order of (client block, host). Rankings are kept per data centre
 * and block bucket, so that a decision only combines them.
 */
class HostRanking
{
public:
  HostRanking(const RankingSettings& aSettings, base::TimePoint aNow);

  /**
   * Takes the current hosts. Only data centres whose hosts changed are
   * ranked again. Hosts above `kMaxRankedHosts` are left out.
   */
  void SetHosts(base::TimePoint aNow, const std::vector<RankedHost>& aHosts);
  /** Advances ramps; to be called about once a second. */
  void OnTick(base::TimePoint aNow);

  /** \returns the index of \a aId; none when no host of it was ever seen. */
  std::optional<CentreIndex> FindCentre(const base::DataCentreId& aId) const;
  /** Decides for a client of \a aCentre; none when that isn't known. */
  LookupDecision Decide(std::optional<CentreIndex> aCentre,
                        BlockHash aBlock) const;

  /** \pre \a aIndex is of a decision since the last SetHosts */
  const RankedHost& Host(HostIndex aIndex) const;

private:
  /** Gives each host an index that it keeps while it is listed. */
  void AssignIndexes(const std::vector<RankedHost>& aHosts);
  std::uint16_t CentreOf(const RankedHost& aHost);
  void Rebuild(base::TimePoint aNow);
  void AddLocal(const CentreRanking& aCentre, std::uint32_t aBucket,
                LookupDecision& aDecision) const;
  /** Adds the first hosts of other data centres, the own region first. */
  void AddRemote(const CentreRanking* aLocal, std::uint32_t aBucket,
                 LookupDecision& aDecision) const;

  RankingSettings mSettings;
  WeightRamp mRamp;
  /** By index; unused ones are empty and excluded. */
  std::vector<RankedHost> mHosts;
  std::unordered_map<base::HostId, std::uint16_t> mHostIndex;
  std::unordered_map<base::DataCentreId, std::uint16_t> mCentreIndex;
  std::vector<CentreRanking> mCentres;
  CentreOrder mOrder;
  bool mIsFallback = false;
};

/** \returns the hash by which the client block \a aBlock is ranked. */
BlockHash HashBlock(std::string_view aBlock);
BlockHash HashBlock(std::uint64_t aPrefix);

} // namespace auburnmux::lookup
