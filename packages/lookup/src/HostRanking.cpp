#include "lookup/src/HostRanking.h"

#include <algorithm>
#include <cassert>

namespace auburnmux::lookup {

namespace {

void AppendHost(HostIndex aHost, LookupDecision& aDecision)
{
  if (aDecision.mCount < kMaxHostsPerLookup) {
    aDecision.mHosts[aDecision.mCount++] = aHost;
  }
}

} // namespace

HostRanking::HostRanking(const RankingSettings& aSettings, base::TimePoint aNow)
  : mSettings(aSettings)
  , mWeightRamp(aSettings.mRampTime, aNow + aSettings.mRampFreeTime)
{
}

void HostRanking::SetHosts(base::TimePoint aNow,
                           const std::vector<RankedHost>& aHosts)
{
  AssignIndexes(aHosts);
  mWeightRamp.SetHosts(aNow, mHosts);
  Rebuild(aNow);
}

void HostRanking::AssignIndexes(const std::vector<RankedHost>& aHosts)
{
  const std::size_t n = std::min(aHosts.size(), kMaxRankedHosts);
  std::unordered_map<base::HostId, std::uint16_t> kept;
  std::vector<bool> isUsed(std::max(n, mHosts.size()) + n, false);
  for (std::size_t it = 0; it < n; ++it) {
    const auto known = mHostIndex.find(aHosts[it].mId);
    if (known != mHostIndex.end()) {
      kept.insert(*known);
      isUsed[known->second] = true;
    }
  }
  std::uint16_t next = 0;
  for (std::size_t it = 0; it < n; ++it) {
    while (isUsed[next]) {
      ++next;
    }
    if (kept.emplace(aHosts[it].mId, next).second) {
      isUsed[next] = true;
    }
  }
  RankedHost unused;
  unused.mEligibility = HostEligibility::Excluded;
  const std::size_t end = static_cast<std::size_t>(
    std::find(isUsed.rbegin(), isUsed.rend(), true).base() - isUsed.begin());
  mHosts.assign(end, unused);
  for (std::size_t it = 0; it < n; ++it) {
    mHosts[kept[aHosts[it].mId]] = aHosts[it];
  }
  mHostIndex = std::move(kept);
}

void HostRanking::OnTick(base::TimePoint aNow)
{
  Rebuild(aNow);
}

std::uint16_t HostRanking::FindOrAddCentre(const RankedHost& aHost)
{
  const auto it = mCentreIndex.find(aHost.mDataCentre);
  if (it != mCentreIndex.end()) {
    return it->second;
  }
  const auto index = static_cast<std::uint16_t>(mCentres.size());
  if (index < kMaxCentres) {
    mCentres.emplace_back(aHost.mDataCentre, aHost.mRegion);
    mCentreIndex[aHost.mDataCentre] = index;
  }
  return index;
}

void HostRanking::Rebuild(base::TimePoint aNow)
{
  mIsFallback =
    std::none_of(mHosts.begin(), mHosts.end(), [](const RankedHost& aHost) {
      return aHost.mEligibility == HostEligibility::Usable;
    });
  const HostEligibility wanted =
    mIsFallback ? HostEligibility::Suspect : HostEligibility::Usable;
  std::vector<std::vector<CentreRanking::Entry>> entries(kMaxCentres + 1);
  std::vector<double> shares(kMaxCentres + 1, 0);
  for (std::size_t it = 0; it < mHosts.size(); ++it) {
    const RankedHost& host = mHosts[it];
    if (host.mEligibility != wanted) {
      continue;
    }
    const std::uint16_t centre = FindOrAddCentre(host);
    const double factor = mWeightRamp.Factor(aNow, host);
    entries[centre].push_back({ HostIndex(static_cast<std::uint16_t>(it)),
                                base::Hash64(host.mId.Text()),
                                host.mWeight * factor });
    shares[centre] = std::max(shares[centre], factor);
  }
  bool isOrderChanged = false;
  for (std::size_t it = 0; it < mCentres.size(); ++it) {
    isOrderChanged |=
      mCentres[it].SetEntries(std::move(entries[it]), shares[it]);
  }
  if (isOrderChanged) {
    mCentreOrder.Rebuild(mCentres);
  }
}

std::optional<CentreIndex> HostRanking::FindCentre(
  const base::DataCentreId& aId) const
{
  const auto it = mCentreIndex.find(aId);
  return it == mCentreIndex.end() ? std::nullopt
                                  : std::optional(CentreIndex(it->second));
}

LookupDecision HostRanking::Decide(std::optional<CentreIndex> aCentre,
                                   BlockHash aBlock) const
{
  const auto bucket = static_cast<std::uint32_t>(aBlock.Count() % kBucketCount);
  const CentreRanking* local = aCentre ? &mCentres[aCentre->Count()] : nullptr;
  LookupDecision out;
  out.mLifetime =
    mIsFallback ? mSettings.mFallbackLifetime : mSettings.mLifetime;
  // While all hosts of a data centre ramp up, only a growing share of its
  // buckets starts with them.
  const bool isLocalFirst = local != nullptr && local->IsPreferredFor(bucket);
  if (isLocalFirst) {
    AddLocal(*local, bucket, out);
  }
  AddRemote(local, bucket, out);
  if (local != nullptr && !isLocalFirst) {
    AddLocal(*local, bucket, out);
  }
  return out;
}

void HostRanking::AddLocal(const CentreRanking& aCentre, std::uint32_t aBucket,
                           LookupDecision& aDecision) const
{
  const std::size_t limit =
    mCentreOrder.Size() > 1 ? kMaxLocalHostsPerLookup : kMaxHostsPerLookup;
  const std::size_t n = std::min(aCentre.RankedCount(), limit);
  for (std::size_t it = 0; it < n; ++it) {
    AppendHost(aCentre.At(aBucket, it), aDecision);
  }
}

void HostRanking::AddRemote(const CentreRanking* aLocal, std::uint32_t aBucket,
                            LookupDecision& aDecision) const
{
  for (const bool isOwnRegion : { true, false }) {
    for (std::size_t rank = 0;
         rank < mCentreOrder.Size() && aDecision.mCount < kMaxHostsPerLookup;
         ++rank) {
      const CentreRanking& centre = mCentres[mCentreOrder.At(aBucket, rank)];
      const bool isInRegion =
        aLocal != nullptr && centre.Region() == aLocal->Region();
      if (isInRegion == isOwnRegion && &centre != aLocal) {
        AppendHost(centre.At(aBucket, 0), aDecision);
      }
    }
  }
}

const RankedHost& HostRanking::Host(HostIndex aIndex) const
{
  assert(aIndex.Count() < mHosts.size());
  return mHosts[aIndex.Count()];
}

BlockHash HashBlock(std::string_view aBlock)
{
  return BlockHash(base::Hash64(aBlock));
}

BlockHash HashBlock(std::uint64_t aPrefix)
{
  constexpr std::uint64_t kSeed = 0x9ae16a3b2f90404fULL;
  return BlockHash(base::CombineHash(kSeed, aPrefix));
}

} // namespace auburnmux::lookup
