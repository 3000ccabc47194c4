#pragma once

#include "standins/src/Exchange.h"

#include <array>
#include <string>
#include <vector>

namespace auburnmux::standins {

/** One kind of request that the caller sends. */
struct RequestClass
{
  std::string mName;
  /** Part of the mix, in any unit. */
  double mWeight = 0;
  std::string mService;
  std::string mMethod;
  /** Path below the service; a number is appended to idempotent ones. */
  std::string mPath;
  base::Duration mDeadline = std::chrono::seconds(2);
  std::size_t mBodyBytes = 0;
  std::size_t mAnswerBytes = 0;
  bool mIsOnce = false;
  /** Whether a refused request is sent again, with backoff. */
  bool mRetriesRefusals = false;
};

struct CallerSettings
{
  std::vector<http::Endpoint> mEntries;
  std::string mDataCentre;
  /** Address that connections come from; empty for any. */
  std::string mSource;
  std::vector<RequestClass> mClasses;
  /** Requests per second over all classes. */
  double mRate = 10;
  base::Duration mTime = std::chrono::seconds(10);
  /** How long to wait for the last answers. */
  base::Duration mLinger = std::chrono::seconds(10);
  int mMaxAttempts = 4;
  std::uint64_t mSeed = 1;
  bool mKeepsTimeline = false;
  bool mKeepsKeys = false;
};

/**
 * \returns the classes checks, once and uploads of the user whose short work
 * \a aService carries (design, section 1), with no weight.
 */
std::vector<RequestClass> DefaultClasses(const std::string& aService);

/** Sets weights from `checks:80,once:10`. \returns whether it could be read. */
bool ApplyMix(const std::string& aMix, std::vector<RequestClass>& aClasses);

} // namespace auburnmux::standins
