#include "carriage/src/RequestBody.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnmux::carriage {

namespace {

/** Length of the prefix of a body that is streamed because of a lowered bound.
 * Bounds change all the time; a constant length makes the prefixes of a request
 * that is repeated equal. */
constexpr std::size_t kReducedPrefixBytes = 16384;

} // namespace

RequestBody::RequestBody(std::size_t aMaxBuffered,
                         std::shared_ptr<buffering::HeldBytes> aAccount)
  : mMaxBuffered(aMaxBuffered)
  , mBound(aMaxBuffered)
  , mHolding(std::move(aAccount), buffering::Receiver::Upstream)
{
}

void RequestBody::SetBound(std::size_t aBound)
{
  if (!mIsStreamed) {
    mBound = std::min(aBound, mMaxBuffered);
  }
}

RequestBody::Arrival RequestBody::OnPart(std::string_view aPart)
{
  if (mIsStreamed && mHasAttempt) {
    mGiven += aPart.size();
    return Arrival::Forward;
  }
  mHeld += aPart;
  mHolding.Set(mHeld.size());
  if (mIsStreamed) {
    return Arrival::Kept;
  }
  mIsStreamed = mHeld.size() > mBound;
  return mIsStreamed ? Arrival::Overflowed : Arrival::Buffered;
}

std::string RequestBody::OnAttemptBegins()
{
  assert(MayBeSent());
  mWasSent = true;
  mHasAttempt = true;
  mGiven = mHeld.size();
  if (!mIsStreamed) {
    return mHeld;
  }
  mHolding.Set(0);
  return std::exchange(mHeld, {});
}

std::size_t RequestBody::InFlight(std::size_t aSize,
                                  std::size_t aUnacknowledged) const
{
  if (aUnacknowledged == 0) {
    return 0;
  }
  const std::size_t taken = mGiven - std::min(mGiven, aUnacknowledged);
  return std::max(aUnacknowledged, aSize - std::min(aSize, taken));
}

void RequestBody::Release()
{
  mHeld = {};
  mHolding.Set(0);
}

std::string_view RequestBody::Prefix() const
{
  const bool isReduced = mIsStreamed && mBound < mMaxBuffered;
  return std::string_view(mHeld).substr(
    0, isReduced ? std::min(mBound, kReducedPrefixBytes) : mMaxBuffered);
}

} // namespace auburnmux::carriage
