#include "carriage/Carriage.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::carriage;

namespace {

/** A client and upstreams that watch what a RequestLife does. */
struct World
{
  explicit World(const RequestTerms& aTerms)
    : mTerms(aTerms)
    , mLife(aTerms)
  {
  }

  void Do(const LifeActions& aActions)
  {
    for (const LifeAction& it : aActions) {
      std::visit(*this, it);
    }
  }
  void operator()(const Seek& /*aAction*/) { mIsSeeking = true; }
  void operator()(const Relay& /*aAction*/)
  {
    ++mEnds;
    mIsRelayedFromAttempt = mHasResponse;
  }
  void operator()(const Refuse& /*aAction*/)
  {
    ++mEnds;
    mIsRefused = true;
  }
  void operator()(const Fail& /*aAction*/) { ++mEnds; }
  void operator()(const CancelAttempt& /*aAction*/) { mIsAttemptOpen = false; }

  RequestTerms mTerms;
  RequestLife mLife;
  bool mIsSeeking = false;
  bool mIsAttemptOpen = false;
  bool mHasResponse = false;
  bool mIsRelayedFromAttempt = true;
  bool mIsRefused = false;
  bool mIsGone = false;
  /** Upstreams that may have begun to run the request. */
  std::uint32_t mRuns = 0;
  int mEnds = 0;
};

} // namespace

TEST_GROUP(RequestLife){};

// Every order of events, also impossible ones: one end, no second run of work
// that may run once, no false "not run", no more upstreams than allowed.
TEST(RequestLife, KeepsItsPromisesInEveryOrderOfEvents)
{
  CHECK_PROPERTY("promises hold", [] {
    RequestTerms terms;
    terms.mMayRepeat = *rc::gen::arbitrary<bool>();
    terms.mMaxAttempts = *rc::gen::inRange<std::uint32_t>(1, 4);
    World world(terms);
    const int steps = *rc::gen::inRange(1, 25);
    for (int i = 0; i < steps; ++i) {
      world.mHasResponse = false;
      switch (*rc::gen::inRange(0, 10)) {
        case 0:
          world.Do(world.mLife.OnReadable());
          break;
        case 1:
        case 2:
          if (world.mIsSeeking && !world.mLife.IsEnded()) {
            world.mIsSeeking = false;
            world.mIsAttemptOpen = true;
            world.mLife.OnPlaced();
          }
          break;
        case 3:
          world.mIsSeeking = false;
          world.Do(world.mLife.OnNoPlace(Reason::NoRoom, {}));
          break;
        case 4: // a response
          if (world.mIsAttemptOpen) {
            world.mIsAttemptOpen = false;
            world.mHasResponse = true;
            ++world.mRuns;
            world.Do(
              world.mLife.OnResponse({ false, *rc::gen::arbitrary<bool>() }));
          }
          break;
        case 5: // rejected
          if (world.mIsAttemptOpen) {
            world.mIsAttemptOpen = false;
            world.Do(world.mLife.OnResponse({ true, true }));
          }
          break;
        case 6:
          if (world.mIsAttemptOpen) {
            const bool mayHaveReached = *rc::gen::arbitrary<bool>();
            world.mIsAttemptOpen = false;
            world.mRuns += mayHaveReached ? 1 : 0;
            world.Do(world.mLife.OnAttemptFailed(mayHaveReached));
          }
          break;
        case 7: // another attempt takes the place of the one under way
          if (world.mIsAttemptOpen && world.mLife.MayReplaceAttempt()) {
            ++world.mRuns;
            world.mLife.OnAttemptReplaced();
          }
          break;
        case 8:
          world.mRuns += world.mIsAttemptOpen ? 1 : 0;
          world.Do(world.mLife.OnTimeUp());
          break;
        default:
          world.mRuns += world.mIsAttemptOpen ? 1 : 0;
          world.mIsGone = world.mIsGone || !world.mLife.IsEnded();
          world.Do(world.mLife.OnCallerGone());
      }
      RC_ASSERT(world.mEnds + (world.mIsGone ? 1 : 0) <= 1);
      RC_ASSERT(world.mRuns <= (terms.mMayRepeat ? terms.mMaxAttempts : 1));
      RC_ASSERT(!world.mIsRefused || world.mRuns == 0);
      RC_ASSERT(world.mIsRelayedFromAttempt);
      RC_ASSERT(!world.mLife.IsEnded() || !world.mIsAttemptOpen);
    }
    world.Do(world.mLife.OnTimeUp());
    RC_ASSERT(world.mEnds + (world.mIsGone ? 1 : 0) == 1);
  });
}

TEST(RequestLife, WorkThatMayRunOnceIsSentAgainAfterARejection)
{
  World world({ false, 2 });
  world.Do(world.mLife.OnReadable());
  world.mLife.OnPlaced();
  world.mIsSeeking = false;
  world.Do(world.mLife.OnResponse({ true, true }));
  CHECK_TRUE(world.mIsSeeking);
  world.mLife.OnPlaced();
  world.Do(world.mLife.OnAttemptFailed(true));
  CHECK_EQUAL(1, world.mEnds);
  CHECK_FALSE(world.mIsRefused);
}

// The load that it answers: upstreams that reject nearly half of their requests
// though they have free slots, so that an immediate return has a fair chance,
// and others that are full, where it hasn't.
TEST(RequestLife, RetryAfterTellsChanceFromWantOfRoom)
{
  const auto refusal = [](bool aHadRoom) {
    RequestLife life({ true, 3 });
    LifeActions actions = life.OnReadable();
    for (int i = 0; i < 3; ++i) {
      life.OnPlaced();
      actions = life.OnResponse({ true, true, aHadRoom });
    }
    return std::get<Refuse>(actions.at(0)).mRetryAfter;
  };
  CHECK_TRUE(refusal(true) == kShedRetryAfter);
  CHECK_TRUE(refusal(false) == kFullRetryAfter);
}

TEST(RequestLife, StragglersLeaveHalfOfTheBudgetToFailures)
{
  WindowBudget budget({ 0.2, 0, std::chrono::seconds(10), 1 });
  const base::TimePoint now{ std::chrono::seconds(100) };
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest(now);
  }
  int stragglers = 0;
  while (budget.TrySpend(now, 1, 0.5)) {
    ++stragglers;
  }
  int failures = 0;
  while (budget.TrySpend(now, 1)) {
    ++failures;
  }
  CHECK_EQUAL(100, stragglers);
  CHECK_EQUAL(100, failures);
}

TEST(RequestLife, AttemptIsReplacedOnceAndOnlyIfItMayRepeat)
{
  RequestLife once({ false, 3 });
  (void)once.OnReadable();
  once.OnPlaced();
  CHECK_FALSE(once.MayReplaceAttempt());
  RequestLife life({ true, 3 });
  (void)life.OnReadable();
  CHECK_FALSE(life.MayReplaceAttempt());
  life.OnPlaced();
  CHECK_TRUE(life.MayReplaceAttempt());
  life.OnAttemptReplaced();
  CHECK_FALSE(life.MayReplaceAttempt());
  CHECK_EQUAL(2U, life.Attempts());
  const LifeActions actions = life.OnResponse({ false, false });
  CHECK_TRUE(std::holds_alternative<Relay>(actions.at(0)));
}

// Guards against a second attempt that sends the kept part of a long body for
// the whole.
TEST(RequestLife, AttemptWithABodyThatIsNotKeptIsNeverReplaced)
{
  RequestLife life({ true, 3 });
  life.OnBodyPassedOn();
  (void)life.OnReadable();
  life.OnPlaced();
  CHECK_FALSE(life.MayReplaceAttempt());
}

TEST(RequestLife, RepeatAfterAnUnreachableUpstreamNeedsNoBudget)
{
  RequestLife life({ true, 2 });
  (void)life.OnReadable();
  life.OnPlaced();
  const LifeActions actions = life.OnAttemptFailed(false);
  CHECK_EQUAL(1U, actions.size());
  CHECK_FALSE(std::get<Seek>(actions[0]).mIsRepeat);
}

// Guards against repeats that multiply an overload: whatever the hosts' loads,
// all of them together stay within the window's bound.
TEST(RequestLife, BudgetsOfAllHostsStayWithinTheBound)
{
  CHECK_PROPERTY("repeats in any window are bounded", [] {
    WindowBudgetSettings settings{ 0.2, 56, std::chrono::seconds(10), 0.7 };
    const std::size_t hosts = *rc::gen::inRange<std::size_t>(1, 10);
    std::vector<WindowBudget> budgets(hosts, WindowBudget(settings));
    struct Event
    {
      int mAt;
      bool mIsRepeat;
    };
    std::vector<Event> events;
    base::Random random(*rc::gen::arbitrary<std::uint64_t>());
    for (int now = 0; now < 30000; now += 20) {
      const base::TimePoint at{ std::chrono::milliseconds(now) };
      WindowBudget& budget = budgets[random.Below(hosts)];
      if (random.Below(3) > 0) {
        budget.OnRequest(at);
        events.push_back({ now, false });
      }
      for (std::uint64_t i = random.Below(4); i > 0; --i) {
        if (budget.TrySpend(at, hosts)) {
          events.push_back({ now, true });
        }
      }
    }
    for (int start = 0; start <= 20000; start += 500) {
      double requests = 0;
      double repeats = 0;
      for (const Event& it : events) {
        const bool isIn = it.mAt >= start && it.mAt < start + 10000;
        requests += isIn && !it.mIsRepeat ? 1 : 0;
        repeats += isIn && it.mIsRepeat ? 1 : 0;
      }
      RC_ASSERT(repeats <= 0.2 * requests + 56);
    }
  });
}
