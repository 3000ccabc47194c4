#pragma once

#include "base/Base.h"

#include <cstdint>
#include <vector>

namespace auburnmux::limits {

/** Parameters of ConcurrencyLimit; see docs/limits.md for measurements. */
struct ConcurrencySettings
{
  /** Latency up to this multiple of the long-term latency is not attributed to
   * queueing. */
  double mTolerance = 2;
  /** Number of samples per adjustment. */
  std::uint32_t mWindow = 10;
  /** Weight of the new limit against the current one when the limit decreases.
   */
  double mSmoothing = 0.3;
  /** Weight of a window in the moving average of the long-term latency. */
  double mLongTermWeight = 0.02;
};

/**
 * Adaptive limit on concurrent requests to one upstream, between 1 and this
 * host's share. It decreases when latency rises above its long-term value,
 * which indicates that requests queue inside the upstream. It grows back to the
 * share while latency is normal, faster if requests wait.
 */
class ConcurrencyLimit
{
public:
  explicit ConcurrencyLimit(base::SlotCount aShare,
                            ConcurrencySettings aSettings = {});

  /** Changes the share, for example after a host failed. A limit equal to the
   * old share is set to the new share. */
  void SetShare(base::SlotCount aShare);
  /** Records the latency of a finished request. \param aWaiting whether
   * requests wait for a slot of this upstream */
  void OnSample(base::Duration aLatency, bool aWaiting);
  /** The upstream shed a request, so it is over capacity. */
  void OnShed();

  /** \returns at least 1 unless the share is 0, and never above the share. */
  base::SlotCount Limit() const;
  base::SlotCount Share() const { return mShare; }

private:
  void Adjust(bool aWaiting);
  void SetLimit(double aLimit);
  double WindowMedian();

  ConcurrencySettings mSettings;
  base::SlotCount mShare;
  double mLimit;
  double mLongTerm = 0;
  std::vector<double> mWindow;
  bool mWaitingSeen = false;
};

} // namespace auburnmux::limits
