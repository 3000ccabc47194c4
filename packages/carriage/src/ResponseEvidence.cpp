#include "carriage/src/ResponseEvidence.h"

namespace auburnmux::carriage {

namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirection = 300;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

/** \returns whether callers take the status for a promise that the request did
 * not run. */
bool IsNotRunPromise(int aStatus)
{
  constexpr int kRequestTimeout = 408;
  constexpr int kMisdirected = 421;
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  return aStatus == kRequestTimeout || aStatus == kMisdirected ||
         aStatus == kTooManyRequests || aStatus == kUnavailable;
}

} // namespace

base::ResponseOwner OwnerOf(const std::string& aRequestId,
                            const std::optional<std::string>& aNamedId,
                            bool aIsFirstRequest)
{
  const bool isNamed =
    aRequestId.empty() ? !aNamedId && aIsFirstRequest : aNamedId == aRequestId;
  if (isNamed) {
    return base::ResponseOwner::Request;
  }
  return aIsFirstRequest ? base::ResponseOwner::None
                         : base::ResponseOwner::EarlierRequest;
}

std::optional<ResponseClassification> Classify(
  const ResponseEvidence& aEvidence)
{
  const int status = aEvidence.mStatus;
  if (aEvidence.mStatesNotRun) {
    const bool isContradictory =
      aEvidence.mHasReceipt || status < kFirstClientError;
    return isContradictory
             ? std::nullopt
             : std::optional(ResponseClassification{ true, false, false });
  }
  const bool isSuccess = status >= kFirstSuccess && status < kFirstRedirection;
  if ((isSuccess && !aEvidence.mHasReceipt) || IsNotRunPromise(status)) {
    return std::nullopt;
  }
  return ResponseClassification{ false, status >= kFirstServerError, false };
}

} // namespace auburnmux::carriage
