#include "cluster/src/StateLag.h"

namespace auburnmux::cluster {

void StateLag::OnAnnounced(base::TimePoint aNow,
                           const membership::StatePosition& aAnnounced,
                           const membership::StatePosition& aOwn)
{
  if (aAnnounced <= aOwn || (mAwaited && aOwn < *mAwaited)) {
    return;
  }
  mAwaited = aAnnounced;
  mAwaitedSince = aNow;
}

bool StateLag::IsBehind(base::TimePoint aNow,
                        const membership::StatePosition& aOwn) const
{
  return mAwaited && aOwn < *mAwaited && aNow - mAwaitedSince >= mMaxLag;
}

} // namespace auburnmux::cluster
