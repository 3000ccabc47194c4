#include "buffering/Buffering.h"

#include "base/test/support/Property.h"

#include <algorithm>
#include <map>

using namespace auburnmux;
using namespace auburnmux::buffering;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kKilobyte = 1024;
constexpr std::uint64_t kHostBound = 1000 * kKilobyte;

base::ByteCount Kilobytes(std::uint64_t aCount)
{
  return base::ByteCount(aCount * kKilobyte);
}

base::TimePoint At(int aMilliseconds)
{
  return base::TimePoint(std::chrono::milliseconds(100000 + aMilliseconds));
}

HoldSettings Settings()
{
  HoldSettings settings;
  settings.mHostBound = base::ByteCount(kHostBound);
  return settings;
}

} // namespace

TEST_GROUP(HoldPolicy)
{
  const HoldPolicy mPolicy{ Settings() };
};

// Guards against a host that treats requests otherwise than before while it
// holds little, and one that holds more for each when it is full.
TEST(HoldPolicy, BoundsOfAnExchangeShrinkToTheMinimum)
{
  CHECK_TRUE(mPolicy.ExchangeBound(Kilobytes(500)) == Kilobytes(256));
  CHECK_TRUE(mPolicy.BodyBound(Kilobytes(500)) == Kilobytes(1024));
  CHECK_TRUE(mPolicy.ExchangeBound(Kilobytes(750)) == Kilobytes(136));
  CHECK_TRUE(mPolicy.ExchangeBound(Kilobytes(1000)) == Kilobytes(16));
  CHECK_TRUE(mPolicy.BodyBound(Kilobytes(5000)) == Kilobytes(16));
  CHECK_PROPERTY(
    "a bound never rises with the total",
    [this](std::uint32_t aOne, std::uint32_t aOther) {
      const base::ByteCount less(std::min(aOne, aOther) % (2 * kHostBound));
      const base::ByteCount more(less.Count() + aOther % kHostBound);
      RC_ASSERT(mPolicy.ExchangeBound(more) <= mPolicy.ExchangeBound(less));
      RC_ASSERT(mPolicy.BodyBound(more) <= mPolicy.BodyBound(less));
      RC_ASSERT(mPolicy.ExchangeBound(more) >= Kilobytes(16));
    });
}

TEST(HoldPolicy, RefusesLargeBodiesAtTheBoundOnly)
{
  CHECK_TRUE(mPolicy.AcceptsBody(Kilobytes(9000), Kilobytes(999)));
  CHECK_FALSE(mPolicy.AcceptsBody(Kilobytes(17), Kilobytes(1000)));
  CHECK_TRUE(mPolicy.AcceptsBody(Kilobytes(16), Kilobytes(1000)));
}

// Guards against closing a client that reads, a client without need, or another
// one than that with the most held bytes.
TEST(HoldPolicy, ClosesTheIdleClientWithTheMostHeldBytes)
{
  const std::vector<HeldClient> clients = {
    { Kilobytes(200), At(1500) }, { Kilobytes(20), At(0) },
    { Kilobytes(90), At(1000) },  { Kilobytes(0), At(0) },
    { Kilobytes(90), At(0) },
  };
  CHECK_FALSE(
    mPolicy.ClientToClose(At(3000), Kilobytes(999), clients).has_value());
  CHECK_FALSE(
    mPolicy.ClientToClose(At(1900), Kilobytes(1000), clients).has_value());
  CHECK_EQUAL(2U, *mPolicy.ClientToClose(At(3000), Kilobytes(1000), clients));
  CHECK_EQUAL(0U, *mPolicy.ClientToClose(At(3500), Kilobytes(1000), clients));
}

// Guards against a total that grows without bound, and against closing a client
// that reads slowly. Each exchange holds at most a part beyond its bound. Some
// clients read half a part each second, the others nothing.
TEST(HoldPolicy, KeepsAHostNearItsBoundAndReadingClientsOpen)
{
  CHECK_PROPERTY("the total stays near the bound", [this](std::uint64_t aSeed) {
    constexpr int kClients = 40;
    constexpr std::uint64_t kPart = 8 * kKilobyte;
    struct Client
    {
      std::unique_ptr<Holding> mHolding;
      std::uint64_t mHeld = 0;
      std::uint64_t mRead = 0;
      bool mReads = false;
      ReadProgress mProgress;
    };
    base::Random random(aSeed);
    const auto account = std::make_shared<HeldBytes>();
    std::map<int, Client> open;
    for (int i = 0; i < kClients; ++i) {
      open[i].mHolding = std::make_unique<Holding>(account, Receiver::Client);
      open[i].mReads = random.Below(4) == 0;
    }
    for (int time = 0; time < 10000; time += 250) {
      for (auto& [id, it] : open) {
        for (int n = 0; n < 8; ++n) {
          if (mPolicy.ExchangeBound(account->Total()).Count() >= it.mHeld) {
            it.mHeld += kPart;
            it.mHolding->Set(it.mHeld);
          }
        }
        if (it.mReads && time % 1000 == 0) {
          const std::uint64_t taken = std::min(it.mHeld, kPart / 2);
          it.mHeld -= taken;
          it.mRead += taken;
          it.mHolding->Set(it.mHeld);
        }
      }
      RC_ASSERT(account->Total().Count() <=
                kHostBound + kClients * (16 * kKilobyte + kPart));
      std::vector<int> ids;
      std::vector<HeldClient> clients;
      for (auto& [id, it] : open) {
        ids.push_back(id);
        clients.push_back({ base::ByteCount(it.mHeld),
                            it.mProgress.OnSample(At(time), it.mRead) });
      }
      while (const auto n =
               mPolicy.ClientToClose(At(time), account->Total(), clients)) {
        RC_ASSERT(time >= 2000);
        RC_ASSERT(!open.at(ids[*n]).mReads);
        open.erase(ids[*n]);
        clients[*n].mHeld = base::ByteCount(0);
      }
    }
    open.clear();
    RC_ASSERT(account->Total().Count() == 0U);
  });
}

TEST_GROUP(ReadProgress){};

// Guards against a client that counts as idle since a time at which the host
// held nothing for it, or did not observe it.
TEST(ReadProgress, CountsObservedIdleTimeOnly)
{
  ReadProgress progress;
  CHECK_TRUE(progress.OnSample(At(0), 10) == At(0));
  CHECK_TRUE(progress.OnSample(At(500), 10) == At(0));
  CHECK_TRUE(progress.OnSample(At(1000), 11) == At(1000));
  CHECK_TRUE(progress.OnSample(At(2000), 11) == At(1000));
  CHECK_TRUE(progress.OnSample(At(9000), 11) == At(9000));
  progress.Reset();
  CHECK_TRUE(progress.OnSample(At(9500), 11) == At(9500));
}
