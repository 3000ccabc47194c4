#include "objects/src/CallBudget.h"

#include <algorithm>
#include <cassert>

namespace auburnmux::objects {

namespace {

std::size_t IndexOf(CallPurpose aPurpose)
{
  return static_cast<std::size_t>(aPurpose);
}

} // namespace

const char* PurposeName(CallPurpose aPurpose)
{
  switch (aPurpose) {
    case CallPurpose::ConfigWatch:
      return "config_watch";
    case CallPurpose::ConfigRead:
      return "config_read";
    case CallPurpose::Publish:
      return "publish";
    case CallPurpose::HostList:
      return "host_list";
    case CallPurpose::Claims:
      return "claims";
  }
  return "";
}

CallRates DefaultCallRates()
{
  CallRates rates;
  rates[IndexOf(CallPurpose::ConfigWatch)] = { 2, 10 };
  rates[IndexOf(CallPurpose::ConfigRead)] = { 2, 20 };
  rates[IndexOf(CallPurpose::Publish)] = { 10, 50 };
  rates[IndexOf(CallPurpose::HostList)] = { 0.5, 5 };
  // A partition writes at most 12 times a second, and after failures one host
  // may own all 16 partitions.
  rates[IndexOf(CallPurpose::Claims)] = { 200, 200 };
  return rates;
}

CallBudget::CallBudget(const CallRates& aRates)
{
  for (std::size_t it = 0; it < kCallPurposeCount; ++it) {
    assert(aRates[it].mPerSecond > 0 && aRates[it].mBurst >= 1);
    mBuckets[it].mRate = aRates[it];
    mBuckets[it].mTokens = aRates[it].mBurst;
  }
}

bool CallBudget::Take(CallPurpose aPurpose, base::TimePoint aNow)
{
  Bucket& bucket = mBuckets[IndexOf(aPurpose)];
  if (aNow > bucket.mRefilledAt) {
    const std::chrono::duration<double> passed = aNow - bucket.mRefilledAt;
    bucket.mTokens =
      std::min(bucket.mRate.mBurst,
               bucket.mTokens + passed.count() * bucket.mRate.mPerSecond);
    bucket.mRefilledAt = aNow;
  }
  if (bucket.mTokens < 1) {
    ++bucket.mCounts.mRefused;
    return false;
  }
  bucket.mTokens -= 1;
  ++bucket.mCounts.mMade;
  return true;
}

const CallCounts& CallBudget::Counts(CallPurpose aPurpose) const
{
  return mBuckets[IndexOf(aPurpose)].mCounts;
}

} // namespace auburnmux::objects
