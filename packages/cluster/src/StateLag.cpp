#include "cluster/src/StateLag.h"

namespace auburnmux::cluster {

namespace {

/** Time within which a change that another host has reaches this one: the
 * longest delay in which hosts gather changes, and a slow response. */
constexpr base::Duration kMaxLag = std::chrono::milliseconds(800);

} // namespace

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
  return mAwaited && aOwn < *mAwaited && aNow - mAwaitedSince >= kMaxLag;
}

} // namespace auburnmux::cluster
