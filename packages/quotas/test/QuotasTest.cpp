#include "quotas/Quotas.h"

#include "base/test/support/Property.h"
#include "quotas/test/support/Network.h"

#include <numeric>
#include <random>

using namespace auburnmux;
using namespace auburnmux::quotas;
using auburnmux::quotas::test::Network;
using auburnmux::quotas::test::NetworkOptions;
using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::vector<std::size_t> AllHosts(const Network& aNetwork)
{
  std::vector<std::size_t> hosts(aNetwork.Size());
  std::iota(hosts.begin(), hosts.end(), 0);
  return hosts;
}

/** \returns the number of requests that one bucket would admit, which is full
 * at the start. */
std::size_t CentralAdmits(const Quota& aQuota,
                          const std::vector<TimePoint>& aArrivals)
{
  double tokens = aQuota.mBurst;
  std::size_t n = 0;
  for (std::size_t i = 0; i < aArrivals.size(); ++i) {
    const std::chrono::duration<double> age =
      i == 0 ? Duration() : aArrivals[i] - aArrivals[i - 1];
    tokens = std::min(aQuota.mBurst, tokens + age.count() * aQuota.mRate);
    if (tokens >= 1) {
      tokens -= 1;
      ++n;
    }
  }
  return n;
}

/** A quota and when its last host stopped using it. */
struct Period
{
  Quota mQuota;
  TimePoint mFrom;
  TimePoint mTo = TimePoint::max();
};

/** \returns the largest number of requests in a window, less what is allowed.
 */
double WorstExcess(std::vector<Network::Run> aRuns,
                   const std::vector<Period>& aPeriods)
{
  const QuotaSettings settings;
  const std::chrono::duration<double> window = settings.mWindow;
  std::sort(aRuns.begin(), aRuns.end(),
            [](const Network::Run& aLeft, const Network::Run& aRight) {
              return aLeft.mTime < aRight.mTime;
            });
  double worst = -1e9;
  std::size_t end = 0;
  for (std::size_t i = 0; i < aRuns.size(); ++i) {
    const TimePoint start = aRuns[i].mTime;
    while (end < aRuns.size() && aRuns[end].mTime < start + settings.mWindow) {
      ++end;
    }
    double allowed = 0;
    for (const Period& it : aPeriods) {
      // A lower quota binds one window after it takes effect.
      if (it.mFrom < start + settings.mWindow &&
          (it.mTo == TimePoint::max() || start < it.mTo + settings.mWindow)) {
        allowed = std::max(allowed,
                           it.mQuota.mRate * window.count() + it.mQuota.mBurst);
      }
    }
    worst =
      std::max(worst, static_cast<double>(end - i) -
                        (allowed * (1 + settings.mOver) + settings.mSlack));
  }
  return worst;
}

const std::vector<Quota> kQuotas{ { 1, 1 },
                                  { 20, 4 },
                                  { 100, 300 },
                                  { 400, 4 } };

/** Lets requests arrive in waves, so that bursts are saved and used. */
void DemandInWaves(Network& aNetwork, base::Random& aRandom,
                   CustomerHash aCustomer, const Quota& aQuota, TimePoint aEnd)
{
  std::vector<std::size_t> hosts = AllHosts(aNetwork);
  std::shuffle(hosts.begin(), hosts.end(), std::mt19937(aRandom.Next()));
  if (aRandom.Below(2) == 0) {
    hosts.resize(1 + aRandom.Below(hosts.size()));
  }
  const bool isSteady = aRandom.Below(2) == 0;
  TimePoint from = aNetwork.Now();
  while (from < aEnd) {
    const TimePoint to = from + milliseconds(500 + aRandom.Below(5000));
    const double rate = (aQuota.mRate + aQuota.mBurst / 5) *
                        (!isSteady && aRandom.Below(3) == 0 ? 0.1 : 3.0);
    aNetwork.At(from, [=, &aNetwork] {
      aNetwork.Demand(aCustomer, rate, hosts, std::min(to, aEnd));
    });
    from = to;
  }
}

} // namespace

TEST_GROUP(Quotas){};

// Guards against requests above the quota while hosts restart, freeze, join,
// leave and are cut off, messages are lost or arrive late, and quotas change.
TEST(Quotas, BoundHoldsInEveryWindowUnderFaults)
{
  CHECK_PROPERTY("no window above the bound", [](std::uint64_t aSeed) {
    base::Random random(aSeed);
    NetworkOptions options;
    options.mCentres = 1 + random.Below(6);
    options.mHosts = options.mCentres + random.Below(50);
    options.mLoss = random.Below(2) == 0 ? 0.0 : 0.05;
    options.mLate = random.Below(2) == 0 ? 0.0 : 0.05;
    options.mIsUseDelayed = random.Below(2) == 0;
    Network network(options, random.Next());
    QuotaTable quotas;
    std::vector<std::vector<Period>> periods(kQuotas.size());
    for (std::size_t i = 0; i < kQuotas.size(); ++i) {
      quotas[CustomerHash(i)] = kQuotas[i];
      periods[i].push_back({ kQuotas[i], network.Now() });
    }
    network.SetQuotas(quotas, Duration());
    const TimePoint end = network.Now() + seconds(20);
    for (std::size_t i = 0; i < kQuotas.size(); ++i) {
      DemandInWaves(network, random, CustomerHash(i), kQuotas[i], end);
    }
    network.RunFor(milliseconds(random.Below(7000)));
    const std::size_t meanGap = 300 + random.Below(8000);
    while (network.Now() < end) {
      network.RunFor(milliseconds(random.Below(2 * meanGap)));
      const std::size_t host = random.Below(network.Size());
      switch (random.Below(9)) {
        case 0: {
          std::set<std::size_t> side;
          for (std::size_t i = 0; i < options.mCentres; ++i) {
            if (random.Below(2) == 0) {
              side.insert(i);
            }
          }
          network.Cut(side);
          break;
        }
        case 1:
          network.Heal();
          break;
        case 2: {
          const std::size_t victim =
            random.Below(2) == 0 ? host : network.Root();
          network.Kill(victim);
          network.At(network.Now() + milliseconds(random.Below(4000)),
                     [&network, victim] { network.Start(victim); });
          break;
        }
        case 3:
          network.Start(host);
          break;
        case 4:
          network.Freeze(random.Below(2) == 0 ? host : network.Root(),
                         milliseconds(random.Below(4000)));
          break;
        case 5:
          network.Join(random.Below(options.mCentres));
          break;
        case 6:
          network.Leave(host);
          break;
        case 7:
          for (std::size_t i = 0; i < network.Size(); ++i) {
            if (random.Below(2) == 0 || host % 2 == 0) {
              network.Start(i);
            }
          }
          break;
        default: {
          const std::size_t i = random.Below(kQuotas.size());
          const double factor = 0.25 + random.Fraction();
          const Quota quota{ kQuotas[i].mRate * factor,
                             kQuotas[i].mBurst * factor };
          quotas[CustomerHash(i)] = quota;
          periods[i].back().mTo = network.Now() + seconds(3);
          periods[i].push_back({ quota, network.Now() });
          network.SetQuotas(quotas, seconds(3));
        }
      }
    }
    for (std::size_t i = 0; i < kQuotas.size(); ++i) {
      RC_ASSERT(WorstExcess(network.mRuns[CustomerHash(i)], periods[i]) <= 0);
    }
  });
}

// Guards against tokens that expire on hosts without requests: 34 hosts with an
// even share each would admit little of a quota of one request a second.
TEST(Quotas, SteadyDemandIsAdmittedAsByOneBucket)
{
  const std::vector<Quota> quotas{ { 0.5, 1 }, { 1, 1 },    { 3, 3 },
                                   { 3, 30 },  { 50, 50 },  { 50, 5 },
                                   { 100, 1 }, { 400, 400 } };
  for (const std::size_t hosts : { 12, 20, 34 }) {
    Network network({ 6, hosts }, hosts);
    QuotaTable table;
    for (std::size_t i = 0; i < 10 * quotas.size(); ++i) {
      const Quota& quota = quotas[i % quotas.size()];
      if (i < quotas.size() || quota.mRate <= 3) {
        table[CustomerHash(i)] = quota;
      }
    }
    network.SetQuotas(table, Duration());
    network.RunFor(seconds(12));
    for (const auto& [customer, quota] : table) {
      network.Demand(customer, quota.mRate, AllHosts(network),
                     network.Now() + seconds(60));
    }
    network.RunFor(seconds(62));
    for (std::size_t i = 0; i < quotas.size(); ++i) {
      std::size_t central = 0;
      std::size_t ran = 0;
      for (const auto& [customer, quota] : table) {
        if (customer.Count() % quotas.size() == i) {
          central += CentralAdmits(quota, network.mArrivals[customer]);
          ran += network.mRuns[customer].size();
        }
      }
      const std::string text = "hosts " + std::to_string(hosts) + " quota " +
                               std::to_string(i) + ": " + std::to_string(ran) +
                               " of " + std::to_string(central);
      printf("%s\n", text.c_str());
      CHECK_TRUE_TEXT(static_cast<double>(ran) >=
                        0.95 * static_cast<double>(central),
                      text.c_str());
    }
  }
}

// Guards against a customer that stays without tokens after the hosts that
// divide its quota have died.
TEST(Quotas, AdmissionRecoversAfterTheDeathOfRootOrAggregator)
{
  CHECK_PROPERTY("recovers", [](std::uint64_t aSeed) {
    const CustomerHash customer(1);
    constexpr double kRate = 200;
    Network network({ 6, 34 }, aSeed);
    network.SetQuotas({ { customer, { kRate, 20 } } }, Duration());
    network.RunFor(seconds(5));
    network.Demand(customer, 1.5 * kRate, AllHosts(network),
                   network.Now() + seconds(20));
    network.RunFor(seconds(3));
    const auto ran = [&](Duration aFrom, Duration aTo, auto... aCentre) {
      const TimePoint now = network.Now();
      return static_cast<double>(
        network.Ran(customer, now + aFrom, now + aTo, aCentre...));
    };
    const std::size_t victim =
      aSeed % 2 == 0 ? network.Root() : network.Aggregator(aSeed / 2 % 6);
    const bool isRoot = victim == network.Root();
    network.Kill(victim);
    network.RunFor(seconds(9));
    const auto part = [&](int aFromMs, int aToMs, auto... aCentre) {
      return ran(milliseconds(aFromMs - 9000), milliseconds(aToMs - 9000),
                 aCentre...) /
             (kRate * (aToMs - aFromMs) / 1000.0);
    };
    if (isRoot) {
      RC_ASSERT(part(1500, 3500) >= 0.7);
    } else {
      RC_ASSERT(part(500, 2500) >= 0.7);
    }
    RC_ASSERT(part(5000, 9000) >= 0.9);
  });
}

// Guards against messages per host that grow with the number of hosts.
TEST(Quotas, MessagesPerHostStayFlat)
{
  std::vector<double> mean;
  for (const auto& [hosts, centres] : std::map<std::size_t, std::size_t>{
         { 34, 6 }, { 100, 12 }, { 300, 24 } }) {
    Network network({ centres, hosts }, hosts);
    QuotaTable table;
    for (std::size_t i = 0; i < 20; ++i) {
      table[CustomerHash(i)] = { static_cast<double>(hosts), 30 };
    }
    network.SetQuotas(table, Duration());
    network.RunFor(seconds(4));
    std::uint64_t idle = 0;
    network.mSent.clear();
    network.RunFor(seconds(5));
    for (const auto& [host, n] : network.mSent) {
      idle += n;
    }
    network.mSent.clear();
    network.mSentBetweenCentres = 0;
    for (const auto& [customer, quota] : table) {
      network.Demand(customer, quota.mRate, AllHosts(network),
                     network.Now() + seconds(5));
    }
    network.RunFor(seconds(5));
    std::uint64_t sent = 0;
    std::uint64_t most = 0;
    for (const auto& [host, n] : network.mSent) {
      sent += n;
      most = std::max(most, n);
    }
    mean.push_back(static_cast<double>(sent) / 5 / static_cast<double>(hosts));
    printf("hosts %zu: idle %.2f mean %.1f most %.1f between %.1f\n", hosts,
           static_cast<double>(idle) / 5 / static_cast<double>(hosts),
           mean.back(), static_cast<double>(most) / 5,
           static_cast<double>(network.mSentBetweenCentres) / 5);
  }
  CHECK_TRUE(mean[1] <= 1.2 * mean[0] && mean[2] <= 1.2 * mean[0]);
}

// Guards against a cost in deployments without quotas.
TEST(Quotas, NothingIsSentWithoutQuotas)
{
  Network network({ 6, 34 }, 1);
  network.Demand(CustomerHash(1), 100, AllHosts(network),
                 network.Now() + seconds(5));
  network.RunFor(seconds(6));
  CHECK_TRUE(network.mSent.empty());
  CHECK_EQUAL(network.mArrivals[CustomerHash(1)].size(),
              network.mRuns[CustomerHash(1)].size());
}
