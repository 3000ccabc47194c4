#pragma once

namespace auburnmux::placing {

/**
 * Ratio of the load of upstreams without a recent report to the mean of the
 * reports of their service.
 *
 * Reports come with responses, and busy upstreams respond most often, so their
 * mean is above the true load. Hosts that took it for the load of all upstreams
 * would hold requests back while slots are idle. Responses lower the ratio, and
 * rejections for want of a slot raise it. It settles where about one request in
 * a hundred is rejected, and at 1, the mean itself, where more are.
 */
class UnreportedLoad
{
public:
  /** An upstream ran a request. */
  void OnAnswered();
  /** An upstream without a free slot rejected a request. */
  void OnFull();
  /** \returns the ratio, 0 to 1. */
  double Ratio() const { return mRatio; }

private:
  double mRatio = 1;
};

} // namespace auburnmux::placing
