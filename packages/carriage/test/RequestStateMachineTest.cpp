#include "carriage/Carriage.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::carriage;

namespace {

/** Simulates the caller and upstreams of a RequestStateMachine and records its
 * actions. */
struct Harness
{
  explicit Harness(const RequestRetryPolicy& aRetryPolicy)
    : mRetryPolicy(aRetryPolicy)
    , mMachine(aRetryPolicy)
  {
  }

  void Do(const RequestActions& aActions)
  {
    for (const RequestAction& it : aActions) {
      std::visit(*this, it);
    }
  }
  void operator()(const SelectUpstream& /*aAction*/) { mIsSelecting = true; }
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

  RequestRetryPolicy mRetryPolicy;
  RequestStateMachine mMachine;
  bool mIsSelecting = false;
  bool mIsAttemptOpen = false;
  bool mHasResponse = false;
  bool mIsRelayedFromAttempt = true;
  bool mIsRefused = false;
  bool mIsCallerGone = false;
  /** Upstreams that may have begun to run the request. */
  std::uint32_t mRuns = 0;
  int mEnds = 0;
};

} // namespace

TEST_GROUP(RequestStateMachine){};

// Generates random orders of events, including impossible ones, and checks that
// a request ends once, that a request that may run once isn't run twice, that
// none is refused after it may have run, and that the attempt limit holds.
TEST(RequestStateMachine, InvariantsHoldInEveryOrderOfEvents)
{
  CHECK_PROPERTY("invariants hold", [] {
    RequestRetryPolicy retryPolicy;
    retryPolicy.mMayRepeat = *rc::gen::arbitrary<bool>();
    retryPolicy.mMaxAttempts = *rc::gen::inRange<std::uint32_t>(1, 4);
    Harness harness(retryPolicy);
    const int steps = *rc::gen::inRange(1, 25);
    for (int i = 0; i < steps; ++i) {
      harness.mHasResponse = false;
      switch (*rc::gen::inRange(0, 11)) {
        case 0:
          harness.Do(harness.mMachine.OnReadyToSend());
          break;
        case 1:
        case 2:
          if (harness.mIsSelecting && !harness.mMachine.IsEnded()) {
            harness.mIsSelecting = false;
            harness.mIsAttemptOpen = true;
            harness.mMachine.OnUpstreamSelected();
          }
          break;
        case 3:
          harness.mIsSelecting = false;
          harness.Do(
            harness.mMachine.OnSelectionFailed(Reason::NoCapacity, {}));
          break;
        case 4: // a response
          if (harness.mIsAttemptOpen) {
            harness.mIsAttemptOpen = false;
            harness.mHasResponse = true;
            ++harness.mRuns;
            harness.Do(harness.mMachine.OnResponse(
              { false, *rc::gen::arbitrary<bool>() }));
          }
          break;
        case 5: // rejected
          if (harness.mIsAttemptOpen) {
            harness.mIsAttemptOpen = false;
            harness.Do(harness.mMachine.OnResponse({ true, true }));
          }
          break;
        case 6:
          if (harness.mIsAttemptOpen) {
            const bool mayHaveReached = *rc::gen::arbitrary<bool>();
            harness.mIsAttemptOpen = false;
            harness.mRuns += mayHaveReached ? 1 : 0;
            harness.Do(harness.mMachine.OnAttemptFailed(mayHaveReached));
          }
          break;
        case 7: // another attempt replaces the one in progress
          if (harness.mIsAttemptOpen && harness.mMachine.MayReplaceAttempt()) {
            ++harness.mRuns;
            harness.mMachine.OnAttemptReplaced();
          }
          break;
        case 8:
          harness.mRuns += harness.mIsAttemptOpen ? 1 : 0;
          harness.Do(harness.mMachine.OnDeadlineExceeded());
          break;
        case 9: {
          const bool mayHaveReached = *rc::gen::arbitrary<bool>();
          harness.mRuns += harness.mIsAttemptOpen && mayHaveReached ? 1 : 0;
          harness.Do(harness.mMachine.OnStopping(mayHaveReached, {}));
          break;
        }
        default:
          harness.mRuns += harness.mIsAttemptOpen ? 1 : 0;
          harness.mIsCallerGone =
            harness.mIsCallerGone || !harness.mMachine.IsEnded();
          harness.Do(harness.mMachine.OnCallerGone());
      }
      RC_ASSERT(harness.mEnds + (harness.mIsCallerGone ? 1 : 0) <= 1);
      RC_ASSERT(harness.mRuns <=
                (retryPolicy.mMayRepeat ? retryPolicy.mMaxAttempts : 1));
      RC_ASSERT(!harness.mIsRefused || harness.mRuns == 0);
      RC_ASSERT(harness.mIsRelayedFromAttempt);
      RC_ASSERT(!harness.mMachine.IsEnded() || !harness.mIsAttemptOpen);
    }
    harness.Do(harness.mMachine.OnDeadlineExceeded());
    RC_ASSERT(harness.mEnds + (harness.mIsCallerGone ? 1 : 0) == 1);
  });
}

TEST(RequestStateMachine, RequestThatMayRunOnceIsSentAgainAfterARejection)
{
  Harness harness({ false, 2 });
  harness.Do(harness.mMachine.OnReadyToSend());
  harness.mMachine.OnUpstreamSelected();
  harness.mIsSelecting = false;
  harness.Do(harness.mMachine.OnResponse({ true, true }));
  CHECK_TRUE(harness.mIsSelecting);
  harness.mMachine.OnUpstreamSelected();
  harness.Do(harness.mMachine.OnAttemptFailed(true));
  CHECK_EQUAL(1, harness.mEnds);
  CHECK_FALSE(harness.mIsRefused);
}

// Guards against one wait for two kinds of rejection: some upstreams reject
// nearly half of their requests although they have free slots, so that an
// immediate retry has a fair chance; others are full, so that it has not.
TEST(RequestStateMachine, RetryAfterIsShorterIfTheUpstreamHadAFreeSlot)
{
  const auto refusal = [](bool aHadFreeSlot) {
    RequestStateMachine machine({ true, 3 });
    RequestActions actions = machine.OnReadyToSend();
    for (int i = 0; i < 3; ++i) {
      machine.OnUpstreamSelected();
      actions = machine.OnResponse({ true, true, aHadFreeSlot });
    }
    return std::get<Refuse>(actions.at(0)).mRetryAfter;
  };
  CHECK_TRUE(refusal(true) == kShedRetryAfter);
  CHECK_TRUE(refusal(false) == kFullRetryAfter);
}

TEST(RequestStateMachine, StragglersLeaveHalfOfTheBudgetToFailures)
{
  WindowedRetryBudget budget({ 0.2, 0, std::chrono::seconds(10), 1 });
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

TEST(RequestStateMachine, AttemptIsReplacedOnceAndOnlyIfItMayRepeat)
{
  RequestStateMachine once({ false, 3 });
  (void)once.OnReadyToSend();
  once.OnUpstreamSelected();
  CHECK_FALSE(once.MayReplaceAttempt());
  RequestStateMachine machine({ true, 3 });
  (void)machine.OnReadyToSend();
  CHECK_FALSE(machine.MayReplaceAttempt());
  machine.OnUpstreamSelected();
  CHECK_TRUE(machine.MayReplaceAttempt());
  machine.OnAttemptReplaced();
  CHECK_FALSE(machine.MayReplaceAttempt());
  CHECK_EQUAL(2U, machine.Attempts());
  const RequestActions actions = machine.OnResponse({ false, false });
  CHECK_TRUE(std::holds_alternative<Relay>(actions.at(0)));
}

// Guards against a second attempt that sends only the buffered part of a long
// body.
TEST(RequestStateMachine, AttemptWithAnUnbufferedBodyIsNeverReplaced)
{
  RequestStateMachine machine({ true, 3 });
  machine.OnBodyNotBuffered();
  (void)machine.OnReadyToSend();
  machine.OnUpstreamSelected();
  CHECK_FALSE(machine.MayReplaceAttempt());
}

TEST(RequestStateMachine, RetryAfterAnUnreachableUpstreamNeedsNoBudget)
{
  RequestStateMachine machine({ true, 2 });
  (void)machine.OnReadyToSend();
  machine.OnUpstreamSelected();
  const RequestActions actions = machine.OnAttemptFailed(false);
  CHECK_EQUAL(1U, actions.size());
  CHECK_FALSE(std::get<SelectUpstream>(actions[0]).mUsesRetryBudget);
}

// Guards against retries that amplify an overload: for any load of the hosts,
// their retries together stay within the limit of the window.
TEST(RequestStateMachine, BudgetsOfAllHostsStayWithinTheBound)
{
  CHECK_PROPERTY("retries in any window are bounded", [] {
    WindowedRetryBudgetSettings settings{ 0.2, 56, std::chrono::seconds(10),
                                          0.7 };
    const std::size_t hosts = *rc::gen::inRange<std::size_t>(1, 10);
    std::vector<WindowedRetryBudget> budgets(hosts,
                                             WindowedRetryBudget(settings));
    struct Event
    {
      int mAt;
      bool mIsRetry;
    };
    std::vector<Event> events;
    base::Random random(*rc::gen::arbitrary<std::uint64_t>());
    for (int now = 0; now < 30000; now += 20) {
      const base::TimePoint at{ std::chrono::milliseconds(now) };
      WindowedRetryBudget& budget = budgets[random.Below(hosts)];
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
      double retries = 0;
      for (const Event& it : events) {
        const bool isIn = it.mAt >= start && it.mAt < start + 10000;
        requests += isIn && !it.mIsRetry ? 1 : 0;
        retries += isIn && it.mIsRetry ? 1 : 0;
      }
      RC_ASSERT(retries <= 0.2 * requests + 56);
    }
  });
}
