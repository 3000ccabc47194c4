#include "buffering/Buffering.h"

#include "base/test/support/Property.h"

#include <memory>
#include <vector>

using namespace auburnmux;
using namespace auburnmux::buffering;

TEST_GROUP(HeldBytes){};

// Guards against bytes that are counted twice or forgotten: the account is
// compared with the sizes of the buffers after each drawn change, and has to be
// empty once all buffers are gone.
TEST(HeldBytes, AreThoseOfAllBuffers)
{
  CHECK_PROPERTY(
    "the account is the sum of its buffers", [](std::uint64_t aSeed) {
      struct Buffer
      {
        std::unique_ptr<Holding> mHolding;
        Receiver mReceiver;
        std::size_t mSize;
      };
      base::Random random(aSeed);
      const auto account = std::make_shared<HeldBytes>();
      std::vector<Buffer> buffers;
      for (int i = 0; i < 100; ++i) {
        const std::size_t n = random.Below(buffers.size() + 1);
        if (n == buffers.size()) {
          const Receiver receiver =
            random.Below(2) == 0 ? Receiver::Client : Receiver::Upstream;
          buffers.push_back(
            { std::make_unique<Holding>(account, receiver), receiver, 0 });
        } else if (random.Below(4) == 0) {
          buffers.erase(buffers.begin() + static_cast<std::ptrdiff_t>(n));
        } else {
          buffers[n].mSize = random.Below(1000);
          buffers[n].mHolding->Set(buffers[n].mSize);
        }
        std::uint64_t clients = 0;
        std::uint64_t upstreams = 0;
        for (const Buffer& it : buffers) {
          (it.mReceiver == Receiver::Client ? clients : upstreams) += it.mSize;
        }
        RC_ASSERT(account->For(Receiver::Client).Count() == clients);
        RC_ASSERT(account->For(Receiver::Upstream).Count() == upstreams);
        RC_ASSERT(account->Total().Count() == clients + upstreams);
      }
      buffers.clear();
      RC_ASSERT(account->Total().Count() == 0U);
    });
}

// Guards against a program without an account, such as a server of the control
// address, that fails when it buffers.
TEST(HeldBytes, NeedNoAccount)
{
  Holding holding;
  holding.Set(5);
}
