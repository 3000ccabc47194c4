#include "placing/src/Placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnmux::placing {

namespace {

/** Time after which a host without a part of a limit forgets it. Nothing else
 * would tell it that the limit was lifted or raised. */
constexpr base::Duration kLimitRetention = std::chrono::minutes(1);

} // namespace

LimitShare Placement::ShareOf(const Upstream& aUpstream, double aLimit) const
{
  const UpstreamSpec& spec = aUpstream.mSpec;
  return mHostCounts.mLimitSharers.empty()
           ? ShareLimit(aLimit, spec.mId, spec.mRegion, mHostCounts.mSelf,
                        { { mHostCounts.mSelf, mRegion } })
           : ShareLimit(aLimit, spec.mId, spec.mRegion, mHostCounts.mSelf,
                        mHostCounts.mLimitSharers);
}

void Placement::OnRetryAfter(base::TimePoint aNow, const base::UpstreamId& aId,
                             base::Duration aTime)
{
  if (Upstream* upstream = Find(aId)) {
    upstream->mRefusesUntil = std::max(upstream->mRefusesUntil, aNow + aTime);
  }
}

bool Placement::OnLimit(base::TimePoint aNow, const base::UpstreamId& aId,
                        std::optional<double> aLimit, base::TimePoint aSentAt)
{
  constexpr double kNotableChange = 0.1;
  Upstream* upstream = Find(aId);
  if (upstream == nullptr) {
    return false;
  }
  std::optional<NamedLimit>& limit = upstream->mLimit;
  if (!aLimit) {
    const bool isLifted = limit && aSentAt > limit->mNamedAt;
    if (isLifted) {
      limit.reset();
    }
    return isLifted;
  }
  const bool isNew = !limit;
  if (isNew) {
    limit.emplace();
    limit->mTokens.Clear(aNow);
  }
  const double before = std::exchange(limit->mRate, *aLimit);
  limit->mNamedAt = aNow;
  if (isNew || before != *aLimit) {
    limit->mShare = ShareOf(*upstream, *aLimit);
    limit->mTokens.Configure(aNow, limit->mShare.mRate, limit->mShare.mBurst);
  }
  return isNew || std::abs(*aLimit - before) > kNotableChange * before;
}

std::optional<LimitShare> Placement::LimitShareOf(
  const base::UpstreamId& aId) const
{
  const auto it = mUpstreams.find(aId);
  return it != mUpstreams.end() && it->second->mLimit
           ? std::optional(it->second->mLimit->mShare)
           : std::nullopt;
}

bool Placement::IsShutOut(base::TimePoint aNow, const Upstream& aUpstream)
{
  const auto& limit = aUpstream.mLimit;
  return limit && limit->mShare.mRate <= 0 &&
         aNow - limit->mNamedAt < kLimitRetention;
}

base::Duration Placement::LimitWait(base::TimePoint aNow,
                                    const Upstream& aUpstream)
{
  const auto& limit = aUpstream.mLimit;
  return limit && limit->mShare.mRate > 0
           ? limit->mTokens.TimeUntil(aNow, 1.0 + aUpstream.mQueued)
           : base::Duration::zero();
}

} // namespace auburnmux::placing
