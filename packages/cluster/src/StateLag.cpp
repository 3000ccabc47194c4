#include "cluster/src/StateLag.h"

namespace auburnmux::cluster {

void StateLag::OnAnnounced(base::TimePoint aNow,
                           membership::StateRevision aAnnounced,
                           membership::StateRevision aOwn)
{
  if (aAnnounced <= aOwn || (mAwaited && aOwn < *mAwaited)) {
    return;
  }
  mAwaited = aAnnounced;
  mAwaitedSince = aNow;
}

bool StateLag::IsBehind(base::TimePoint aNow,
                        membership::StateRevision aOwn) const
{
  return mAwaited && aOwn < *mAwaited && aNow - mAwaitedSince >= mMaxLag;
}

} // namespace auburnmux::cluster
