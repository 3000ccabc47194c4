#include "idempotency/test/support/Keys.h"

#include <algorithm>

#include "base/test/support/Property.h"

using namespace auburnmux::idempotency; // NOLINT(google-build-using-namespace)
using auburnmux::idempotency::test::At;
using auburnmux::idempotency::test::kStartWall;
using auburnmux::idempotency::test::MakeKey;
namespace base = auburnmux::base;

namespace {

template<typename Action>
std::size_t CountOf(const ClaimClientActions& aActions)
{
  return static_cast<std::size_t>(std::count_if(
    aActions.begin(), aActions.end(), [](const ClaimClientAction& aIt) {
      return std::holds_alternative<Action>(aIt);
    }));
}

} // namespace

TEST_GROUP(ClaimClient)
{
  ClaimClient mClient{ base::Incarnation(1000), {} };
  IdempotencyKey mKey = MakeKey(kStartWall, 1);
  AttemptNumber mAttempt = mClient.Start(mKey, RequestHash(1), At(0)).first;

  ClaimClientActions Reply(ClaimVerdict aVerdict, std::int64_t aMs)
  {
    return mClient.OnReply(mAttempt, aVerdict, {}, At(aMs));
  }
  HolderState Query(std::uint64_t aIncarnation)
  {
    const ClaimHolder holder{ base::HostId("a"),
                              base::Incarnation(aIncarnation), mAttempt };
    const auto out = mClient.OnQuery(base::HostId("b"), holder, mKey, At(5000));
    return std::get<SendClaimQueryAnswer>(out.at(0)).mState;
  }
};

// Guards against a dispatch because of a grant that arrives after the deadline,
// before or after the attempt was ended.
TEST(ClaimClient, LateGrantIsReleasedAndNeverDispatched)
{
  CHECK_TRUE(Query(1000) == HolderState::InProgress);
  const auto late = Reply(ClaimVerdict::Granted, 1500);
  LONGS_EQUAL(0, CountOf<Dispatch>(late));
  LONGS_EQUAL(1, CountOf<AnswerNotRun>(late));
  LONGS_EQUAL(1, CountOf<SendClaimRelease>(late));
  const auto later = Reply(ClaimVerdict::Granted, 1600);
  LONGS_EQUAL(1, later.size());
  LONGS_EQUAL(1, CountOf<SendClaimRelease>(later));
  CHECK_TRUE(Query(1000) == HolderState::NeverDispatched);
  CHECK_TRUE(Query(999) == HolderState::NotKnown);
}

// Guards against a second dispatch because of a duplicate reply, and against an
// outcome that is resent forever or not at all.
TEST(ClaimClient, OutcomeIsResentUntilRecorded)
{
  LONGS_EQUAL(1, CountOf<Dispatch>(Reply(ClaimVerdict::Granted, 10)));
  CHECK_TRUE(Reply(ClaimVerdict::Granted, 11).empty());
  CHECK_TRUE(mClient.OnTick(At(5000)).empty());
  const Outcome outcome{ StatusCode(201), "done", "", false };
  LONGS_EQUAL(1, CountOf<SendClaimOutcome>(
                   mClient.OnOutcome(mAttempt, outcome, At(5000))));
  LONGS_EQUAL(1, CountOf<SendClaimOutcome>(mClient.OnTick(At(5500))));
  CHECK_TRUE(mClient.OnTick(At(5600)).empty());
  const auto again = mClient.Start(mKey, RequestHash(1), At(5700)).second;
  CHECK_TRUE(std::get<AnswerRan>(again.at(0)).mOutcome == outcome);
  Reply(ClaimVerdict::Ran, 5800);
  CHECK_TRUE(mClient.OnTick(At(20000)).empty());
  CHECK_TRUE(Query(1000) == HolderState::Ran);
  mClient.OnTick(At(36000));
  LONGS_EQUAL(0, mClient.OpenCount());
  // An attempt that was removed must not be reported as never dispatched.
  CHECK_TRUE(Query(1000) == HolderState::NotKnown);
}

// Guards against two dispatches for two requests with the same key at one host.
TEST(ClaimClient, SecondRequestWhileTheFirstRuns)
{
  Reply(ClaimVerdict::Granted, 10);
  const auto same = mClient.Start(mKey, RequestHash(1), At(20)).second;
  LONGS_EQUAL(1, CountOf<AnswerNotKnown>(same));
  const auto other = mClient.Start(mKey, RequestHash(2), At(20)).second;
  CHECK_TRUE(std::get<AnswerNotRun>(other.at(0)).mReason ==
             NotRunReason::Mismatch);
}

// Guards against running requests with expired keys or keys from the future.
TEST(ClaimClient, KeysOutsideTheWindowAreRefusedAtOnce)
{
  const auto old = MakeKey(kStartWall - std::chrono::hours(3), 2);
  LONGS_EQUAL(1, CountOf<AnswerNotKnown>(
                   mClient.Start(old, RequestHash(1), At(0)).second));
  const auto future = MakeKey(kStartWall + std::chrono::minutes(2), 3);
  LONGS_EQUAL(1, CountOf<AnswerNotRun>(
                   mClient.Start(future, RequestHash(1), At(0)).second));
}
