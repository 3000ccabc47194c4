#include "buffering/src/HeldBytes.h"

#include <cassert>
#include <utility>

namespace auburnmux::buffering {

Holding::Holding(std::shared_ptr<HeldBytes> aAccount, Receiver aReceiver)
  : mAccount(std::move(aAccount))
  , mReceiver(aReceiver)
{
}

Holding::~Holding()
{
  Set(0);
}

void Holding::Set(std::size_t aBytes)
{
  if (!mAccount) {
    return;
  }
  base::ByteCount& sum = mAccount->mBytes[static_cast<std::size_t>(mReceiver)];
  assert(sum.Count() >= mBytes);
  sum -= base::ByteCount(mBytes);
  sum += base::ByteCount(aBytes);
  mBytes = aBytes;
}

} // namespace auburnmux::buffering
