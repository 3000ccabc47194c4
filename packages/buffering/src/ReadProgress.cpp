#include "buffering/src/ReadProgress.h"

namespace auburnmux::buffering {

base::TimePoint ReadProgress::OnSample(base::TimePoint aNow,
                                       std::uint64_t aAcknowledged)
{
  const bool isIdle = mLast && aNow - mLast->mTime <= kMaxGap &&
                      aAcknowledged == mLast->mAcknowledged;
  mLast = Sample{ aNow, aAcknowledged, isIdle ? mLast->mLastProgress : aNow };
  return mLast->mLastProgress;
}

} // namespace auburnmux::buffering
