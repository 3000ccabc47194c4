// Measures block table lookups and host ranking decisions, each against a
// simpler baseline in alternating rounds of the same run.
// Usage: bench_blocks [SEED]

#include "lookup/Lookup.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

using namespace auburnmux;
using namespace auburnmux::lookup;

namespace {

constexpr std::size_t kBlocks = 3700000;
constexpr std::uint64_t kSites = 400;
constexpr std::size_t kQueries = 1 << 20;
constexpr int kRounds = 5;

double Seconds(std::chrono::steady_clock::duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/** Accumulates results so that the compiler can't optimise the work away. */
std::uint64_t sSink = 0;

/** \returns the seconds that one call of \a aRun takes. */
template<typename Function>
double Time(const Function& aRun)
{
  const auto start = std::chrono::steady_clock::now();
  sSink += aRun();
  return Seconds(std::chrono::steady_clock::now() - start);
}

std::vector<Block<Ipv4>> MakeRandomBlocks(base::Random& aRandom)
{
  // Consecutive prefixes of 256 to 2,048 addresses, some with gaps between
  // them.
  std::vector<Block<Ipv4>> out;
  std::uint64_t next = 1U << 24U;
  while (out.size() < kBlocks) {
    const auto bits = 8 + aRandom.Below(3);
    const std::uint64_t size = std::uint64_t(1) << bits;
    next = (next + size - 1) / size * size;
    out.push_back(
      { static_cast<Ipv4>(next),
        PrefixLength(static_cast<std::uint8_t>(32 - bits)),
        SiteNumber(static_cast<std::uint16_t>(aRandom.Below(kSites))) });
    next += size + (aRandom.Below(4) == 0 ? aRandom.Below(1024) : 0);
  }
  return out;
}

void BenchBlocks(std::uint64_t aSeed)
{
  base::Random random(aSeed);
  const std::vector<Block<Ipv4>> blocks = MakeRandomBlocks(random);
  BlockTable table;
  if (table.Build(BlockVersion(1), blocks, {}) != BlockError::None) {
    std::printf("measure=blocks error=build\n");
    std::exit(1);
  }
  std::map<Ipv4, Block<Ipv4>> reference;
  for (const Block<Ipv4>& it : blocks) {
    reference.emplace_hint(reference.end(), it.mStart, it);
  }
  std::vector<Ipv4> queries(kQueries);
  for (Ipv4& it : queries) {
    const Block<Ipv4>& block = blocks[random.Below(blocks.size())];
    it = block.mStart + static_cast<Ipv4>(random.Below(256));
  }
  const auto find = [&] {
    std::uint64_t sum = 0;
    for (const Ipv4 it : queries) {
      sum += table.Find(it).value_or(SiteNumber(0)).Count();
    }
    return sum;
  };
  const auto findInMap = [&] {
    std::uint64_t sum = 0;
    for (const Ipv4 it : queries) {
      auto found = reference.upper_bound(it);
      if (found != reference.begin()) {
        --found;
        const Block<Ipv4>& block = found->second;
        if (it <= PrefixTable<Ipv4>::LastAddress(block.mStart, block.mLength)) {
          sum += block.mSite.Count();
        }
      }
    }
    return sum;
  };
  if (find() != findInMap()) {
    std::printf("measure=blocks error=results_differ\n");
    std::exit(1);
  }
  double value = 0;
  double baseline = 0;
  for (int it = 0; it < kRounds; ++it) {
    baseline += Time(findInMap);
    value += Time(find);
  }
  const double n = double(kQueries) * kRounds;
  std::printf("measure=blocks baseline=%.0f value=%.0f ratio=%.2f "
              "unit=lookups/s memory_mb=%.1f blocks=%zu seed=%llu "
              "duration_s=%.2f\n",
              n / baseline, n / value, baseline / value,
              static_cast<double>(table.Memory().Count()) / 1e6, kBlocks,
              static_cast<unsigned long long>(aSeed), value + baseline);
  BlockDelta delta{ BlockVersion(1), BlockVersion(2), {}, {} };
  for (std::size_t it = 0; it < 1000; ++it) {
    Block<Ipv4> block = blocks[it * (kBlocks / 1000)];
    block.mSite = SiteNumber(1);
    delta.mIpv4.push_back({ block, false });
  }
  const auto apply = [&] {
    return Time(
      [&] { return table.Apply(delta) == BlockError::None ? 1U : 0U; });
  };
  const double sites = apply();
  delta.mFrom = delta.mTo;
  delta.mTo += BlockVersion(1);
  delta.mIpv4[0].mIsRemoved = true;
  const double merged = apply();
  std::printf("measure=blocks_delta sites_only=%.2f merged=%.2f unit=ms "
              "changes=1000 seed=%llu\n",
              sites * 1e3, merged * 1e3,
              static_cast<unsigned long long>(aSeed));
}

std::vector<RankedHost> MakeHosts(std::size_t aCount, std::size_t aCentres)
{
  std::vector<RankedHost> out;
  out.reserve(aCount);
  for (std::size_t it = 0; it < aCount; ++it) {
    const std::size_t centre = it % aCentres;
    RankedHost host;
    host.mId = base::HostId("host-" + std::to_string(it));
    host.mDataCentre = base::DataCentreId("dc-" + std::to_string(centre));
    host.mRegion = base::RegionId("region-" + std::to_string(centre / 2));
    out.push_back(host);
  }
  return out;
}

/** Baseline: scores every host of the data centre for each decision. */
std::uint64_t DecideDirectly(const std::vector<RankedHost>& aHosts,
                             const std::vector<std::uint64_t>& aHashes,
                             const std::string& aCentre, std::uint32_t aBucket)
{
  std::array<double, kMaxHostsPerLookup> scores{};
  std::array<std::uint64_t, kMaxHostsPerLookup> best{};
  for (std::size_t it = 0; it < aHosts.size(); ++it) {
    const bool isLocal = aHosts[it].mDataCentre.Text() == aCentre;
    const double score =
      RendezvousScore(aHashes[it], aBucket, 1.0) + (isLocal ? 1e12 : 0);
    std::size_t rank = kMaxHostsPerLookup;
    while (rank > 0 && score > scores[rank - 1]) {
      if (rank < kMaxHostsPerLookup) {
        scores[rank] = scores[rank - 1];
        best[rank] = best[rank - 1];
      }
      --rank;
    }
    if (rank < kMaxHostsPerLookup) {
      scores[rank] = score;
      best[rank] = it;
    }
  }
  return best[0] + best[1] + best[2] + best[3];
}

void BenchDecisions(std::uint64_t aSeed, std::size_t aHosts,
                    std::size_t aCentres)
{
  base::Random random(aSeed);
  auto hosts = MakeHosts(aHosts, aCentres);
  const base::TimePoint now{ std::chrono::seconds(1000) };
  HostRanking ranking({}, now);
  const double build = Time([&] {
    ranking.SetHosts(now, hosts);
    return 1U;
  });
  const std::size_t queries = kQueries / (aHosts > 100 ? 64 : 4);
  std::vector<std::uint64_t> blocks(kQueries);
  std::vector<CentreIndex> centres(kQueries);
  for (std::size_t it = 0; it < kQueries; ++it) {
    blocks[it] = random.Next();
    centres[it] =
      CentreIndex(static_cast<std::uint16_t>(random.Below(aCentres)));
  }
  std::vector<std::uint64_t> hashes;
  hashes.reserve(hosts.size());
  for (const RankedHost& it : hosts) {
    hashes.push_back(base::Hash64(it.mId.Text()));
  }
  const auto decide = [&] {
    std::uint64_t sum = 0;
    for (std::size_t it = 0; it < kQueries; ++it) {
      const LookupDecision decision =
        ranking.Decide(centres[it], HashBlock(blocks[it]));
      sum += decision.mHosts[0].Count() + decision.mCount;
    }
    return sum;
  };
  const auto decideDirectly = [&] {
    std::uint64_t sum = 0;
    for (std::size_t it = 0; it < queries; ++it) {
      const std::string centre = "dc-" + std::to_string(centres[it].Count());
      const auto bucket = static_cast<std::uint32_t>(
        HashBlock(blocks[it]).Count() % kBucketCount);
      sum += DecideDirectly(hosts, hashes, centre, bucket);
    }
    return sum;
  };
  double value = 0;
  double baseline = 0;
  for (int it = 0; it < kRounds; ++it) {
    baseline += Time(decideDirectly);
    value += Time(decide);
  }
  hosts[0].mEligibility = HostEligibility::Excluded;
  const double change = Time([&] {
    ranking.SetHosts(now, hosts);
    return 1U;
  });
  const double rate = double(kQueries) * kRounds / value;
  const double baselineRate = double(queries) * kRounds / baseline;
  std::printf("measure=lookups_decision hosts=%zu centres=%zu baseline=%.0f "
              "value=%.0f ratio=%.1f unit=decisions/s build_ms=%.1f "
              "change_ms=%.1f seed=%llu duration_s=%.2f\n",
              aHosts, aCentres, baselineRate, rate, rate / baselineRate,
              build * 1e3, change * 1e3, static_cast<unsigned long long>(aSeed),
              value + baseline);
}

} // namespace

int main(int aArgc, char** aArgv)
{
  const std::uint64_t seed =
    aArgc > 1 ? std::strtoull(aArgv[1], nullptr, 10) : 20261204;
  BenchBlocks(seed);
  BenchDecisions(seed, 7, 6);
  BenchDecisions(seed, 1500, 24);
  return sSink == 0 ? 1 : 0;
}
