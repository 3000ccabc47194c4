#pragma once

#include <cassert>
#include <cstdint>
#include <random>

namespace auburnmux::base {

/** Random number generator of all decisions; a fixed seed makes a run
 * reproducible. */
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /** \returns a number in [0, aBound). \pre aBound > 0 */
  std::uint64_t Below(std::uint64_t aBound)
  {
    assert(aBound > 0);
    return mEngine() % aBound;
  }

  /** \returns a number in [0, 1). */
  double Fraction()
  {
    constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(mEngine() >> 11U) * kScale;
  }

  std::uint64_t Next() { return mEngine(); }

private:
  std::mt19937_64 mEngine;
};

} // namespace auburnmux::base
