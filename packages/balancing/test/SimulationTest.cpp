#include "balancing/test/support/Simulation.h"

#include "base/test/support/Property.h"

#include <algorithm>
#include <cstdio>

using namespace auburnmux;
using balancing::test::Simulation;
using balancing::test::SimulationResult;
using balancing::test::SimulationSettings;

namespace {

/** Prints a line for docs/balancing.md; run with -g Simulation to see it. */
SimulationResult Measure(const char* aName, const SimulationSettings& aSettings)
{
  const SimulationResult it = Simulation(aSettings).Run();
  std::printf("%-24s hosts %u load %.1f slowed %u of %u: p50 %.1f ms p99 %.1f "
              "ms goodput %.0f/s refused %llu late %llu hedges %llu of %llu, "
              "%llu at slowed\n",
              aName, aSettings.mHosts, aSettings.mLoad, aSettings.mSlowed,
              aSettings.mUpstreams, it.mMedian, it.mP99, it.mGoodput,
              static_cast<unsigned long long>(it.mRefused),
              static_cast<unsigned long long>(it.mLate),
              static_cast<unsigned long long>(it.mHedges),
              static_cast<unsigned long long>(it.mStarted),
              static_cast<unsigned long long>(it.mAttemptsAtSlowed));
  return it;
}

/** 99th percentile latencies in ms; all but the first with a tenth of the
 * upstreams, or one of six, slowed tenfold. */
struct Tails
{
  double mUndisturbed = 0;
  double mTwoChoices = 0;
  double mHedged = 0;
  double mPlainRoundRobin = 0;
};

Tails MeasureTails(SimulationSettings aSettings, std::uint32_t aSlowed)
{
  Tails tails;
  aSettings.mStragglers = 0.002;
  aSettings.mHedging = true;
  tails.mUndisturbed = Measure("undisturbed", aSettings).mP99;
  aSettings.mSlowed = aSlowed;
  tails.mHedged = Measure("two choices, hedging", aSettings).mP99;
  aSettings.mHedging = false;
  tails.mTwoChoices = Measure("two choices", aSettings).mP99;
  aSettings.mPool = balancing::RoundRobinPool();
  Measure("round robin in shares", aSettings);
  aSettings.mUseShares = false;
  tails.mPlainRoundRobin = Measure("plain round robin", aSettings).mP99;
  return tails;
}

void CheckTails(const Tails& aTails)
{
  CHECK_TRUE(aTails.mHedged <= 1.5 * aTails.mUndisturbed);
  CHECK_TRUE(aTails.mTwoChoices <= 1.5 * aTails.mUndisturbed);
  CHECK_TRUE(5 * aTails.mHedged <= aTails.mPlainRoundRobin);
}

} // namespace

TEST_GROUP(Simulation){};

// Guards against slow upstreams that get their full share of requests until a
// load report shows that they are slow.
TEST(Simulation, SlowedTenthHardlyMovesTheTail)
{
  CheckTails(MeasureTails({}, 4));
}

// Same as above for two hosts and few upstreams, where ejecting one removes a
// sixth of the capacity.
TEST(Simulation, OneSlowOfSixHardlyMovesTheTail)
{
  SimulationSettings settings;
  settings.mUpstreams = 6;
  settings.mHosts = 2;
  settings.mDuration = std::chrono::seconds(20);
  CheckTails(MeasureTails(settings, 1));
}

// Guards against slots used by requests that can't meet their deadline, and
// against requests queued inside upstreams, which don't order by deadline.
TEST(Simulation, GoodputStaysFlatFromOneToThreeTimesCapacity)
{
  double peak = 0;
  double least = 1e9;
  for (const double load : { 1.0, 1.5, 2.0, 3.0 }) {
    SimulationSettings settings;
    settings.mLoad = load;
    settings.mUpstreams = 12;
    settings.mDeadline = std::chrono::milliseconds(200);
    const SimulationResult it = Measure("overload", settings);
    peak = std::max(peak, it.mGoodput);
    least = std::min(least, it.mGoodput);
    LONGS_EQUAL(0, it.mQueuedAtUpstream);
    CHECK_TRUE(it.mLate * 200 <= it.mStarted);
  }
  CHECK_TRUE(least >= 0.95 * peak);
}

// Guards against hedges that increase with latency until they cause overload.
TEST(Simulation, HedgesStayWithinTheirBudget)
{
  SimulationSettings settings;
  settings.mHedging = true;
  settings.mUpstreams = 12;
  settings.mSlowed = 6;
  const SimulationResult it = Measure("half slowed, hedging", settings);
  CHECK_TRUE(static_cast<double>(it.mHedges) <=
             0.05 * static_cast<double>(it.mStarted) + 1);
}
