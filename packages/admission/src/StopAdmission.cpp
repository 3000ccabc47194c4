#include "admission/src/StopAdmission.h"

#include <algorithm>

namespace auburnmux::admission {

namespace {

/** Work time of the longest requests as a multiple of the mean. */
constexpr int kLongestWork = 8;

} // namespace

bool EndsBeforeExit(base::Duration aUntilExit, const RequestTime& aRequest)
{
  return std::min(aRequest.mTimeLeft, kLongestWork * aRequest.mExpected) <=
         aUntilExit;
}

} // namespace auburnmux::admission
