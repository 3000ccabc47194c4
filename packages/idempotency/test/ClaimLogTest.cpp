#include "idempotency/test/support/FakePlatform.h"
#include "idempotency/test/support/Keys.h"

#include <deque>

#include "base/test/support/Property.h"

using namespace auburnmux::idempotency; // NOLINT(google-build-using-namespace)
using auburnmux::idempotency::test::At;
using auburnmux::idempotency::test::FakePlatform;
using auburnmux::idempotency::test::kStartWall;
using auburnmux::idempotency::test::MakeKey;
namespace base = auburnmux::base;

namespace {

/** A log whose platform calls are answered immediately; while the platform is
 * down, with an unknown status. */
class Fixture
{
public:
  explicit Fixture(FakePlatform& aPlatform, std::uint64_t aSeed,
                   ClaimLogSettings aSettings = {})
    : mPlatform(aPlatform)
    , mLog(aSettings, aSeed)
  {
  }

  void Perform(ClaimLogActions aActions, std::int64_t aMs)
  {
    std::deque<ClaimLogAction> todo(aActions.begin(), aActions.end());
    while (!todo.empty()) {
      const auto action = std::move(todo.front());
      todo.pop_front();
      for (auto& it : std::visit(
             [this, aMs](const auto& aIt) { return Do(aIt, aMs); }, action)) {
        todo.push_back(std::move(it));
      }
    }
  }

  void Tick(std::int64_t aMs) { Perform(mLog.OnTick(At(aMs)), aMs); }

  /** \returns the verdict, or nothing if the claim still waits. */
  std::optional<ClaimVerdict> Claim(const IdempotencyKey& aKey,
                                    std::uint64_t aAttempt, std::int64_t aMs,
                                    std::uint64_t aHash = 1)
  {
    mVerdict.reset();
    Perform(
      mLog.OnClaim({ Holder(aAttempt), aKey, RequestHash(aHash) }, At(aMs)),
      aMs);
    return mVerdict;
  }

  static ClaimHolder Holder(std::uint64_t aAttempt)
  {
    return { base::HostId("host-a"), base::Incarnation(1),
             AttemptNumber(aAttempt) };
  }

  FakePlatform& mPlatform;
  ClaimLog mLog;
  bool mIsDown = false;
  std::size_t mCalls = 0;
  std::optional<ClaimVerdict> mVerdict;
  Outcome mOutcome;
  std::optional<ClaimHolder> mAsked;

private:
  template<typename Call>
  ClaimLogActions Do(const Call& aCall, std::int64_t aMs)
  {
    ++mCalls;
    auto result = mPlatform.Apply(aCall);
    if (mIsDown) {
      std::visit([](auto& aIt) { aIt.mStatus = CallStatus::Unknown; }, result);
    }
    return mLog.OnResult(std::move(result), At(aMs));
  }
  ClaimLogActions Do(const SendClaimReply& aReply, std::int64_t /*aMs*/)
  {
    mVerdict = aReply.mVerdict;
    mOutcome = aReply.mOutcome;
    return {};
  }
  ClaimLogActions Do(const SendClaimQuery& aQuery, std::int64_t /*aMs*/)
  {
    mAsked = aQuery.mTo;
    return {};
  }
};

} // namespace

TEST_GROUP(ClaimLog)
{
  FakePlatform mPlatform;
  Fixture mLog{ mPlatform, 1 };
  IdempotencyKey mKey = MakeKey(kStartWall, 1);
};

// Guards against granting claims before the chain has been read.
TEST(ClaimLog, NothingIsAnsweredBeforeTheChainIsLoaded)
{
  CHECK_TRUE(!mLog.Claim(mKey, 1, 0));
  mLog.Tick(10);
  CHECK_TRUE(mLog.mVerdict == ClaimVerdict::Granted);
}

// Guards against claims that hang while the platform is down. Also guards
// against granting a key to another attempt without querying the first one,
// whose claim was refused during the outage but recorded nevertheless.
TEST(ClaimLog, OutageRefusesClaimButKeepsItsRecord)
{
  mLog.Tick(0);
  mLog.mIsDown = true; // Writes take effect; their results are lost.
  CHECK_TRUE(!mLog.Claim(mKey, 1, 10));
  mLog.Tick(500);
  CHECK_TRUE(!mLog.mVerdict);
  mLog.Tick(1010);
  CHECK_TRUE(mLog.mVerdict == ClaimVerdict::Unavailable);
  CHECK_TRUE(mLog.Claim(mKey, 2, 2500) == ClaimVerdict::Unavailable);
  mLog.mIsDown = false;
  mLog.Tick(6000);
  CHECK_TRUE(!mLog.Claim(mKey, 3, 6100));
  CHECK_TRUE(mLog.mAsked == Fixture::Holder(1));
  mLog.Perform(
    mLog.mLog.OnQueryAnswer(
      { Fixture::Holder(1), mKey, HolderState::NeverDispatched, {} }, At(6200)),
    6200);
  CHECK_TRUE(mLog.mVerdict == ClaimVerdict::Granted);
}

// Guards against claims that wait forever for a holder that doesn't answer.
TEST(ClaimLog, SilentHolderMeansNotKnown)
{
  mLog.Tick(0);
  CHECK_TRUE(mLog.Claim(mKey, 1, 0) == ClaimVerdict::Granted);
  CHECK_TRUE(!mLog.Claim(mKey, 2, 100));
  mLog.Tick(450);
  CHECK_TRUE(mLog.mVerdict == ClaimVerdict::NotKnown);
}

// Guards against using a key for two different requests.
TEST(ClaimLog, OtherRequestWithTheKeyIsRefused)
{
  mLog.Tick(0);
  mLog.Claim(mKey, 1, 0, 1);
  mLog.Perform(mLog.mLog.OnOutcome(mKey, Fixture::Holder(1),
                                   { StatusCode(200), "", "", false }, At(50)),
               50);
  CHECK_TRUE(mLog.Claim(mKey, 2, 60, 2) == ClaimVerdict::Mismatch);
  CHECK_TRUE(mLog.Claim(mKey, 3, 70, 1) == ClaimVerdict::Ran);
}

// Guards against treating an expired key as new, also when the clock is set
// back, and against keys from the future, which would be retained too long.
TEST(ClaimLog, KeysOutsideTheWindowAreNeverNew)
{
  constexpr std::int64_t kWindowMs = 7200000;
  mLog.Tick(kWindowMs + 1);
  CHECK_TRUE(mLog.Claim(mKey, 1, kWindowMs + 1) == ClaimVerdict::Expired);
  const auto future = MakeKey(kStartWall + std::chrono::hours(3), 2);
  CHECK_TRUE(mLog.Claim(future, 2, kWindowMs + 1) == ClaimVerdict::Unavailable);
  const std::int64_t forgotten = kWindowMs + 300001;
  mLog.Tick(forgotten);
  CHECK_TRUE(mLog.Claim(mKey, 3, 60000) == ClaimVerdict::Expired);
}

// Guards against a rate of platform calls that grows with the request rate.
TEST(ClaimLog, CallsAreBoundedWhateverTheLoad)
{
  mLog.Tick(0);
  const std::size_t loaded = mLog.mCalls;
  for (std::int64_t ms = 0; ms < 10000; ms += 2) {
    mLog.Claim(MakeKey(kStartWall, 100 + static_cast<std::uint64_t>(ms)),
               static_cast<std::uint64_t>(ms + 1), ms);
    mLog.Tick(ms);
  }
  // 12 writes a second, a burst of 4, and a listing for each new segment.
  const std::size_t calls = mLog.mCalls - loaded;
  CHECK_TRUE(calls >= 100);
  CHECK_TRUE(calls <= 124 + mPlatform.Count());
  LONGS_EQUAL(5000, mLog.mLog.KeyCount() + mLog.mLog.WaitingCount());
}

// Guards against a second log that answers before it has read the whole chain.
TEST(ClaimLog, AnotherHostLoadsAllSegments)
{
  ClaimLogSettings settings;
  settings.mSealAt = base::ByteCount(200);
  Fixture first(mPlatform, 2, settings);
  first.Tick(0);
  for (std::uint64_t it = 0; it < 40; ++it) {
    const auto ms = static_cast<std::int64_t>(it * 100);
    CHECK_TRUE(first.Claim(MakeKey(kStartWall, it), it, ms) ==
               ClaimVerdict::Granted);
  }
  CHECK_TRUE(mPlatform.Count() > 5);
  mLog.Tick(5000);
  LONGS_EQUAL(40, mLog.mLog.KeyCount());
}

// Guards against an index that grows without bound, and against bodies that
// take more memory than allowed.
TEST(ClaimLog, KeysAndBodiesAreBounded)
{
  ClaimLogSettings settings;
  settings.mMaxKeys = 2;
  settings.mBodyBudget = base::ByteCount(6000);
  Fixture log(mPlatform, 3, settings);
  log.Tick(0);
  for (std::uint64_t it = 1; it <= 2; ++it) {
    const auto ms = static_cast<std::int64_t>(it * 200);
    const auto key = MakeKey(kStartWall, it);
    CHECK_TRUE(log.Claim(key, it, ms) == ClaimVerdict::Granted);
    log.Perform(
      log.mLog.OnOutcome(key, Fixture::Holder(it),
                         { StatusCode(200), std::string(4000, 'x'), "", false },
                         At(ms + 100)),
      ms + 100);
  }
  CHECK_TRUE(log.Claim(MakeKey(kStartWall, 3), 3, 900) ==
             ClaimVerdict::Unavailable);
  // The older body was omitted, but not the record that the request ran.
  CHECK_TRUE(log.Claim(MakeKey(kStartWall, 1), 4, 950) == ClaimVerdict::Ran);
  CHECK_TRUE(log.mOutcome.mIsBodyOmitted && log.mOutcome.mBody.empty());
  CHECK_TRUE(log.Claim(MakeKey(kStartWall, 2), 5, 990) == ClaimVerdict::Ran);
  LONGS_EQUAL(4000, log.mOutcome.mBody.size());
}
