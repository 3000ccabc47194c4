#pragma once

#include "base/Base.h"

#include <cstdint>
#include <vector>

namespace auburnmux::limits {

/** Parameters of ConcurrencyLimit; docs/limits.md gives measurements. */
struct ConcurrencySettings
{
  /** Latency up to this multiple of the long-term one is not queueing. */
  double mTolerance = 2;
  /** Samples that make one adjustment. */
  std::uint32_t mWindow = 10;
  /** Weight of a new limit against the present one. */
  double mSmoothing = 0.3;
  /** Weight of a window in the long-term latency. */
  double mLongTermWeight = 0.02;
};

/**
 * Concurrent requests to one upstream, between 1 and this host's share. It
 * decreases when latency rises above its long-term value, because requests
 * then queue inside the upstream, and returns to the share while requests
 * wait and latency is normal.
 */
class ConcurrencyLimit
{
public:
  explicit ConcurrencyLimit(base::SlotCount aShare,
                            ConcurrencySettings aSettings = {});

  /** Changes the share, such as after a host failed. A limit that was at the
   * share stays at the share. */
  void SetShare(base::SlotCount aShare);
  /** Takes a finished request's latency; \a aWaiting tells whether requests
   * wait for a slot of this upstream. */
  void OnSample(base::Duration aLatency, bool aWaiting);
  /** The upstream shed a request: it is over its capacity. */
  void OnShed();

  /** \returns at least 1 unless the share is 0, and never above the share. */
  base::SlotCount Limit() const;
  base::SlotCount Share() const { return mShare; }

private:
  void Adjust(bool aWaiting);
  void Apply(double aLimit);
  double WindowMedian();

  ConcurrencySettings mSettings;
  base::SlotCount mShare;
  double mLimit;
  double mLongTerm = 0;
  std::vector<double> mWindow;
  bool mWaitingSeen = false;
};

} // namespace auburnmux::limits
