#include "standins/src/ServiceTime.h"

#include <cmath>

namespace auburnmux::standins {

namespace {

base::Duration Scale(base::Duration aTime, double aFactor)
{
  return base::Duration(static_cast<base::Duration::rep>(
    static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

base::Duration ServiceTime::Expect(const UpstreamSettings& aSettings,
                                   base::Duration aAge)
{
  double factor = aSettings.mSlowFactor;
  if (aAge < aSettings.mColdStart) {
    const double left =
      1.0 - static_cast<double>(aAge.count()) /
              static_cast<double>(aSettings.mColdStart.count());
    factor *= 1.0 + (aSettings.mColdFactor - 1.0) * left;
  }
  return Scale(aSettings.mMeanTime, factor);
}

base::Duration ServiceTime::Draw(const UpstreamSettings& aSettings,
                                 base::Duration aAge)
{
  // Box-Muller; the shift by half the variance keeps the mean.
  constexpr double kTwoPi = 6.283185307179586;
  const double normal = std::sqrt(-2.0 * std::log(1.0 - mRandom.Fraction())) *
                        std::cos(kTwoPi * mRandom.Fraction());
  const double sigma = aSettings.mSigma;
  double factor = std::exp(sigma * normal - sigma * sigma / 2.0);
  if (Happens(aSettings.mStragglerFraction)) {
    factor *= aSettings.mStragglerFactor;
  }
  return Scale(Expect(aSettings, aAge), factor);
}

} // namespace auburnmux::standins
