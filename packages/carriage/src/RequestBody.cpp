#include "carriage/src/RequestBody.h"

#include <cassert>
#include <utility>

namespace auburnmux::carriage {

RequestBody::RequestBody(std::size_t aMaxBuffered)
  : mMaxBuffered(aMaxBuffered)
{
}

RequestBody::Arrival RequestBody::OnPart(std::string_view aPart)
{
  if (mIsStreamed && mHasAttempt) {
    return Arrival::Forward;
  }
  mHeld += aPart;
  if (mIsStreamed) {
    return Arrival::Kept;
  }
  mIsStreamed = mHeld.size() > mMaxBuffered;
  return mIsStreamed ? Arrival::Overflowed : Arrival::Buffered;
}

std::string RequestBody::OnAttemptBegins()
{
  assert(MayBeSent());
  mWasSent = true;
  mHasAttempt = true;
  return mIsStreamed ? std::exchange(mHeld, {}) : mHeld;
}

std::string_view RequestBody::Prefix() const
{
  return std::string_view(mHeld).substr(0, mMaxBuffered);
}

} // namespace auburnmux::carriage
