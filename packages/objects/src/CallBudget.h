#pragma once

#include "base/Base.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace auburnmux::objects {

/** Why a call is made; each purpose has a budget and counters of its own. */
enum class CallPurpose : std::uint8_t
{
  ConfigWatch,
  ConfigRead,
  Publish,
  HostList,
  Claims
};

constexpr std::size_t kCallPurposes = 5;

/** \returns the purpose as it stands in metrics, e.g. "config_watch". */
const char* PurposeName(CallPurpose aPurpose);

/** Sustained rate and burst of the calls for one purpose. */
struct CallRate
{
  double mPerSecond = 1;
  double mBurst = 1;
};

/** The rates of all purposes, in the order of CallPurpose. */
using CallRates = std::array<CallRate, kCallPurposes>;

/** \returns the rates of one host; claims are for all its partitions. */
CallRates DefaultCallRates();

/** Calls made and refused for one purpose since the start. */
struct CallCounts
{
  std::uint64_t mMade = 0;
  std::uint64_t mRefused = 0;
};

/**
 * A token bucket for each purpose. A fault in one part can't use up the
 * platform's capacity, or the budget of the others.
 */
class CallBudget
{
public:
  explicit CallBudget(const CallRates& aRates = DefaultCallRates());

  /** \returns whether a call may be made now; counts it either way. */
  bool Take(CallPurpose aPurpose, base::TimePoint aNow);

  const CallCounts& Counts(CallPurpose aPurpose) const;

private:
  struct Bucket
  {
    CallRate mRate;
    double mTokens = 0;
    base::TimePoint mRefilledAt;
    CallCounts mCounts;
  };

  std::array<Bucket, kCallPurposes> mBuckets;
};

} // namespace auburnmux::objects
