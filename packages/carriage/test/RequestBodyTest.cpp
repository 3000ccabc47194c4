#include "carriage/Carriage.h"

#include "base/test/support/Property.h"

#include <optional>
#include <string>

using namespace auburnmux;
using carriage::RequestBody;

namespace {

constexpr std::size_t kMaxBuffered = 100;
constexpr std::size_t kMaxPart = 60;

/** Parts that are on their way to a host when it pauses the client. */
constexpr std::size_t kMaxInFlight = 3;

/** What a host may hold: a part that fills the buffer, the one at which it
 * pauses the client, and those on their way. */
constexpr std::size_t kMaxHeld = kMaxBuffered + (2 + kMaxInFlight) * kMaxPart;

/** A client, a host and an upstream that exchange one body in a drawn order of
 * events. Reads of the client that were under way when it was paused still
 * arrive. */
struct Exchange
{
  base::Random mRandom;
  std::shared_ptr<buffering::HeldBytes> mAccount =
    std::make_shared<buffering::HeldBytes>();
  RequestBody mBody{ kMaxBuffered, mAccount };
  std::string mSent;
  /** What the current attempt has received. */
  std::optional<std::string> mReceived;
  std::size_t mKeptSincePause = 0;
  bool mIsPaused = false;
  bool mIsEnded = false;

  explicit Exchange(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  void ClientSends()
  {
    if (mIsEnded || (mIsPaused && ++mKeptSincePause > kMaxInFlight)) {
      return;
    }
    std::string part(1 + mRandom.Below(kMaxPart), 'x');
    for (char& it : part) {
      it = static_cast<char>('a' + mRandom.Below(26));
    }
    mSent += part;
    mBody.SetBound(mRandom.Below(2 * kMaxBuffered));
    switch (mBody.OnPart(part)) {
      case RequestBody::Arrival::Forward:
        *mReceived += part;
        break;
      case RequestBody::Arrival::Overflowed:
      case RequestBody::Arrival::Kept:
        mKeptSincePause = mIsPaused ? mKeptSincePause : 0;
        mIsPaused = true;
        break;
      case RequestBody::Arrival::Buffered:
        break;
    }
  }
  void ClientEnds()
  {
    if (!mIsEnded && !mIsPaused) {
      mIsEnded = true;
      mBody.OnEnd();
    }
  }
  void SlotIsFree()
  {
    const bool isReady = mBody.IsStreamed() || mBody.IsComplete();
    if (!mReceived && isReady && mBody.MayBeSent()) {
      mReceived = mBody.OnAttemptBegins();
      mIsPaused = false;
    }
  }
  void AttemptFails()
  {
    if (mReceived) {
      mReceived.reset();
      mBody.OnAttemptEnded();
    }
  }
};

} // namespace

TEST_GROUP(RequestBody){};

// Guards against a part of a body that is lost or sent twice because it arrives
// while the request is queued, between attempts or while one is under way.
TEST(RequestBody, AttemptHasAllThatTheClientSentInAnyOrderOfEvents)
{
  CHECK_PROPERTY("a body arrives whole", [](std::uint64_t aSeed) {
    Exchange exchange(aSeed);
    for (int i = 0; i < 60; ++i) {
      switch (exchange.mRandom.Below(8)) {
        case 0:
          exchange.ClientEnds();
          break;
        case 1:
        case 2:
          exchange.SlotIsFree();
          break;
        case 3:
          exchange.AttemptFails();
          break;
        default:
          exchange.ClientSends();
      }
      if (exchange.mReceived) {
        RC_ASSERT(*exchange.mReceived == exchange.mSent);
      }
      RC_ASSERT(exchange.mBody.Size() <= kMaxHeld);
      RC_ASSERT(exchange.mAccount->Total().Count() == exchange.mBody.Size());
    }
    exchange.mBody.Release();
    RC_ASSERT(exchange.mAccount->Total().Count() == 0U);
  });
}

// Guards against a streamed body that is sent again without its beginning.
TEST(RequestBody, StreamedOneIsSentOnce)
{
  RequestBody body(kMaxBuffered);
  CHECK_TRUE(body.OnPart(std::string(101, 'x')) ==
             RequestBody::Arrival::Overflowed);
  CHECK_TRUE(body.OnPart("kept") == RequestBody::Arrival::Kept);
  CHECK_EQUAL(105U, body.OnAttemptBegins().size());
  CHECK_TRUE(body.OnPart("more") == RequestBody::Arrival::Forward);
  body.OnAttemptEnded();
  CHECK_FALSE(body.MayBeSent());
}

// Guards against a long body that is taken for another one when it is repeated,
// as different amounts of it had arrived.
TEST(RequestBody, PrefixDoesNotDependOnHowMuchHasArrived)
{
  RequestBody one(kMaxBuffered);
  one.OnPart(std::string(101, 'x'));
  RequestBody other(kMaxBuffered);
  other.OnPart(std::string(100, 'x'));
  other.OnPart(std::string(60, 'y'));
  CHECK_TRUE(one.Prefix() == other.Prefix());
}

// Guards against a body that is taken for another one when it is repeated, as
// the host held other amounts for other requests meanwhile.
TEST(RequestBody, PrefixDoesNotDependOnTheLoweredBound)
{
  RequestBody one(1000000);
  one.SetBound(20000);
  one.OnPart(std::string(20001, 'x'));
  RequestBody other(1000000);
  other.SetBound(90000);
  other.OnPart(std::string(100000, 'x'));
  CHECK_TRUE(one.IsStreamed() && other.IsStreamed());
  CHECK_TRUE(one.Prefix() == other.Prefix());
}

// Guards against an upstream that doesn't read and is given further bodies,
// because little of a streamed one has arrived here, and against one that is
// given none while it waits for a slow client.
TEST(RequestBody, IsInFlightUntilItsUpstreamHasTakenIt)
{
  RequestBody body(kMaxBuffered);
  body.OnPart(std::string(200, 'x'));
  body.OnAttemptBegins();
  CHECK_EQUAL(1000U, body.InFlight(1000, 250));
  CHECK_EQUAL(850U, body.InFlight(1000, 50));
  CHECK_EQUAL(0U, body.InFlight(1000, 0));
  body.OnPart(std::string(800, 'x'));
  CHECK_EQUAL(30U, body.InFlight(1000, 30));
  CHECK_EQUAL(900U, body.InFlight(300, 900));
}
