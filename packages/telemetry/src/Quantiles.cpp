#include "telemetry/src/Quantiles.h"

// GCC 12 warns about copies of accumulators inside Boost.Accumulators.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace auburnmux::telemetry {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> kProbabilities = { 0.5, 0.95, 0.99 };

// The algorithm needs one sample per marker before its quantiles are valid.
constexpr std::size_t kMinSamples = 9;

using Accumulator = acc::accumulator_set<
  double, acc::stats<acc::tag::count, acc::tag::extended_p_square_quantile>>;

base::Duration ToDuration(double aNanoseconds)
{
  return base::Duration(static_cast<base::Duration::rep>(aNanoseconds));
}

} // namespace

struct Quantiles::Window
{
  Accumulator mSamples{ acc::extended_p_square_probabilities = kProbabilities };

  base::Duration Quantile(double aProbability) const
  {
    return ToDuration(
      acc::quantile(mSamples, acc::quantile_probability = aProbability));
  }
  bool HasEnoughSamples() const { return acc::count(mSamples) >= kMinSamples; }
};

Quantiles::Quantiles(base::Duration aWindow)
  : mWindow(aWindow)
  , mCurrent(std::make_unique<Window>())
{
}

Quantiles::~Quantiles() = default;
Quantiles::Quantiles(Quantiles&&) noexcept = default;
Quantiles& Quantiles::operator=(Quantiles&&) noexcept = default;

void Quantiles::Rotate(base::TimePoint aNow)
{
  if (aNow - mStart < mWindow) {
    return;
  }
  const bool isStale = aNow - mStart >= 2 * mWindow;
  mPrevious = isStale ? nullptr : std::move(mCurrent);
  mCurrent = std::make_unique<Window>();
  mStart = aNow;
}

void Quantiles::Add(base::TimePoint aNow, base::Duration aValue)
{
  Rotate(aNow);
  mCurrent->mSamples(static_cast<double>(aValue.count()));
  ++mCount;
  mSum += aValue;
}

QuantileValues Quantiles::Read(base::TimePoint aNow)
{
  Rotate(aNow);
  QuantileValues values;
  values.mCount = mCount;
  values.mSum = mSum;
  const Window* window = mPrevious && mPrevious->HasEnoughSamples()
                           ? mPrevious.get()
                           : mCurrent.get();
  if (window->HasEnoughSamples()) {
    values.mP50 = window->Quantile(kProbabilities[0]);
    values.mP95 = window->Quantile(kProbabilities[1]);
    values.mP99 = window->Quantile(kProbabilities[2]);
  }
  return values;
}

} // namespace auburnmux::telemetry
