#include "idempotency/test/support/ClaimModel.h"

#include <algorithm>
#include <cstdio>

#include "base/test/support/Property.h"

using auburnmux::idempotency::test::ClaimModel;
using auburnmux::idempotency::test::kHosts;
using auburnmux::idempotency::test::ModelCounts;
using auburnmux::idempotency::test::Step;

namespace auburnmux::idempotency::test {

std::ostream& operator<<(std::ostream& aOut, const Step& aStep)
{
  return aOut << "{kind " << static_cast<int>(aStep.mKind) << " host "
              << aStep.mHost << " key " << aStep.mKey << " ms " << aStep.mMs
              << "}";
}

} // namespace auburnmux::idempotency::test

namespace {

rc::Gen<Step> GenStep()
{
  // Claims are the most frequent, so that the other events happen while claims
  // are open.
  const auto kind =
    rc::gen::weightedElement<Step::Kind>({ { 8, Step::Kind::Claim },
                                           { 1, Step::Kind::Pause },
                                           { 1, Step::Kind::Restart },
                                           { 2, Step::Kind::MoveOwner },
                                           { 1, Step::Kind::Outage },
                                           { 1, Step::Kind::Wait } });
  return rc::gen::build<Step>(
    rc::gen::set(&Step::mKind, kind),
    rc::gen::set(&Step::mHost, rc::gen::inRange<std::size_t>(0, kHosts)),
    rc::gen::set(&Step::mKey, rc::gen::inRange<std::uint64_t>(0, 6)),
    rc::gen::set(&Step::mMs, rc::gen::inRange<std::int64_t>(0, 1000)));
}

/** Number of runs of each script, each with different network and platform
 * faults. */
constexpr std::uint64_t kSeedsPerScript = 10;

void PrintCounts(const ModelCounts& aCounts)
{
  std::printf("dispatches=%zu ran=%zu not_run=%zu not_known=%zu "
              "outcomes_told=%zu free_keys_run=%zu deletes=%zu conflicts=%zu "
              "unknown_writes=%zu own_batches_found=%zu\n",
              aCounts.mDispatches, aCounts.mAnswersRan, aCounts.mAnswersNotRun,
              aCounts.mAnswersNotKnown, aCounts.mOutcomesTold,
              aCounts.mFreeKeysRun, aCounts.mDeletes, aCounts.mConflicts,
              aCounts.mUnknownWrites, aCounts.mOwnBatchesFound);
}

std::string FirstViolation(const ClaimModel& aModel)
{
  return aModel.Violations().empty() ? "" : aModel.Violations().front();
}

/** \returns a script that claims the same keys at all hosts while the
 * partition's owner changes. */
std::vector<Step> ContendedScript()
{
  std::vector<Step> script;
  for (std::uint64_t it = 0; it < 60; ++it) {
    const auto host = static_cast<std::size_t>(it % kHosts);
    if (it % 5 == 0) {
      script.push_back({ Step::Kind::MoveOwner, host, 0, 5 });
    }
    script.push_back({ Step::Kind::Claim, host, it / 6, 10 });
  }
  script.push_back({ Step::Kind::Wait, 0, 0, 2000 });
  return script;
}

} // namespace

TEST_GROUP(ClaimModel){};

// Guards against a second dispatch of a key, an incorrect "not run", and a lost
// or incorrect outcome, under host, network and platform faults.
TEST(ClaimModel, KeysAreDispatchedAtMostOnce)
{
  ModelCounts counts;
  CHECK_PROPERTY("at most once under faults", [&counts] {
    const auto script = *rc::gen::container<std::vector<Step>>(GenStep());
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    for (std::uint64_t it = 0; it < kSeedsPerScript; ++it) {
      ClaimModel model(seed + it);
      model.Run(script);
      model.CheckClaimsWithoutFaults();
      counts += model.Counts();
      RC_ASSERT(FirstViolation(model) == "");
    }
  });
  PrintCounts(counts);
  // The property is only meaningful if each of these events has happened.
  CHECK_TRUE(counts.mDispatches > 0);
  CHECK_TRUE(counts.mAnswersRan > 0);
  CHECK_TRUE(counts.mAnswersNotRun > 0);
  CHECK_TRUE(counts.mAnswersNotKnown > 0);
  CHECK_TRUE(counts.mOutcomesTold > 0);
  CHECK_TRUE(counts.mFreeKeysRun > 0);
  CHECK_TRUE(counts.mDeletes > 0);
  CHECK_TRUE(counts.mConflicts > 0);
  CHECK_TRUE(counts.mUnknownWrites > 0);
  CHECK_TRUE(counts.mOwnBatchesFound > 0);
}

// Guards against a property that can't fail: if the platform ignores the
// conditions of writes, the model must detect that a key is dispatched twice.
TEST(ClaimModel, PropertyDetectsIgnoredConditions)
{
  std::size_t doubled = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    ClaimModel model(seed, true);
    model.Run(ContendedScript());
    const auto& found = model.Violations();
    doubled += std::any_of(found.begin(), found.end(),
                           [](const std::string& aIt) {
                             return aIt.rfind("key dispatched twice", 0) == 0;
                           })
                 ? 1
                 : 0;
  }
  CHECK_TRUE(doubled > 0);
}

// Guards against violations that the script itself causes: with conditional
// writes, the script of the previous test must pass.
TEST(ClaimModel, SameScriptPassesWithConditions)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    ClaimModel model(seed);
    model.Run(ContendedScript());
    model.CheckClaimsWithoutFaults();
    STRCMP_EQUAL("", FirstViolation(model).c_str());
  }
}
