#include "http/src/ClosedWindow.h"

#include <utility>

namespace auburnmux::http::internal {

void ClosedWindow::Update(base::TimePoint aNow, const SendProgress& aProgress)
{
  const base::TimePoint previous = std::exchange(mUpdatedAt, aNow);
  const bool hasProbed =
    std::exchange(mProbes, aProgress.mProbes) != aProgress.mProbes;
  const bool isAnswered = aNow - aProgress.mSinceAck > previous;
  mIsClosed = aProgress.mIsWindowClosed;
  if (!mIsClosed || isAnswered) {
    mUnansweredSince.reset();
  } else if (hasProbed && !mUnansweredSince) {
    mUnansweredSince = aNow;
  }
  mIsPeerSilent = mUnansweredSince && aNow - *mUnansweredSince >= mTimeout;
}

} // namespace auburnmux::http::internal
