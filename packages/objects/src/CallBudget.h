#pragma once

#include "base/Base.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace auburnmux::objects {

/** Purpose of a call; each has its own token bucket and counters. */
enum class CallPurpose : std::uint8_t
{
  ConfigWatch,
  ConfigRead,
  Publish,
  HostList,
  Claims
};

constexpr std::size_t kCallPurposeCount = 5;

/** \returns the metric label of the purpose, e.g. "config_watch". */
const char* PurposeName(CallPurpose aPurpose);

/** Sustained rate and burst size of the calls for one purpose. */
struct CallRate
{
  double mPerSecond = 1;
  double mBurst = 1;
};

/** The rates of all purposes, indexed by CallPurpose. */
using CallRates = std::array<CallRate, kCallPurposeCount>;

/** \returns the rates of one host. The rate for claims covers all partitions
 * that the host owns. */
CallRates DefaultCallRates();

/** Numbers of allowed and refused calls for one purpose since the start. */
struct CallCounts
{
  std::uint64_t mMade = 0;
  std::uint64_t mRefused = 0;
};

/**
 * Limits calls with one token bucket per purpose, so that a fault in one
 * component can't use up the platform's capacity or the budget of the others.
 */
class CallBudget
{
public:
  explicit CallBudget(const CallRates& aRates = DefaultCallRates());

  /** \returns whether a call may be made now. Counts it as made or refused. */
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

  std::array<Bucket, kCallPurposeCount> mBuckets;
};

} // namespace auburnmux::objects
