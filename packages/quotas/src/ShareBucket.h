#pragma once

#include "quotas/src/Messages.h"
#include "quotas/src/Settings.h"

#include <algorithm>
#include <cmath>

namespace auburnmux::quotas {

/** Token bucket of a customer, for a share of its quota. It starts empty, so
 * that a new root doesn't grant a burst that another one may have granted. */
class ShareBucket
{
public:
  ShareBucket(base::TimePoint aNow, Quota aQuota, double aShare,
              const QuotaSettings& aSettings)
    : mQuota(aQuota)
    , mShare(aShare)
    , mUpdatedAt(aNow)
    , mLeastWholeShare(aSettings.LeastWholeShare())
    , mShortBurst(aSettings.ShortBurst())
  {
  }

  /** Adds what has flowed in at \a aShare since the last call. */
  void Advance(base::TimePoint aNow, double aShare)
  {
    const std::chrono::duration<double> age = aNow - mUpdatedAt;
    mTokens =
      std::min(Capacity(), mTokens + age.count() * aShare * mQuota.mRate);
    mUpdatedAt = aNow;
  }
  void SetShare(double aShare)
  {
    mShare = aShare;
    mTokens = std::min(mTokens, Capacity());
  }
  void SetQuota(Quota aQuota)
  {
    mQuota = aQuota;
    mTokens = std::min(mTokens, Capacity());
  }

  /** Takes up to \a aWaiting tokens, and then up to \a aAhead of those that
   * aren't needed for bursts. \returns the number taken. */
  std::uint32_t Take(std::uint32_t aWaiting, std::uint32_t aAhead)
  {
    const std::uint32_t waiting = std::min(aWaiting, Whole(mTokens));
    mTokens -= waiting;
    // Tokens that are fetched ahead may expire unused. A bucket that is nearly
    // full loses nothing by that; another one would admit fewer requests.
    const double reserve = std::max(kReservedPart * Capacity(), kLeastReserve);
    const std::uint32_t ahead = std::min(aAhead, Whole(mTokens - reserve));
    mTokens -= ahead;
    return waiting + ahead;
  }
  /** \returns the time until there is a token, or zero if it depends on hosts
   * that aren't attached yet. */
  base::Duration TimeToToken() const
  {
    const double rate = mShare * mQuota.mRate;
    if (mShare <= 0) {
      return base::Duration::zero();
    }
    if (rate <= 0 || Capacity() < 1) {
      return kUnknownRetry;
    }
    const double wait = std::min(std::max(0.0, 1 - mTokens) / rate, kMaxRetry);
    return std::max<base::Duration>(std::chrono::duration_cast<base::Duration>(
                                      std::chrono::duration<double>(wait)),
                                    std::chrono::milliseconds(1));
  }

private:
  static constexpr double kReservedPart = 0.75;
  static constexpr double kLeastReserve = 16;
  static constexpr double kMaxRetry = 60;

  static std::uint32_t Whole(double aTokens)
  {
    return static_cast<std::uint32_t>(
      std::clamp(std::floor(aTokens), 0.0, double{ kMaxTokens }));
  }
  double Capacity() const
  {
    const double n =
      mShare * (mQuota.mBurst + mQuota.mRate * mShortBurst.count());
    return mShare >= mLeastWholeShare ? std::max(n, 1.0) : n;
  }

  Quota mQuota;
  double mShare;
  double mTokens = 0;
  base::TimePoint mUpdatedAt;
  double mLeastWholeShare;
  std::chrono::duration<double> mShortBurst;
};

} // namespace auburnmux::quotas
