#include "retries/src/AttemptPolicy.h"

namespace auburnmux::retries {

using base::FailureKind;
using base::WorkKind;
using base::WorkOutcome;

bool AttemptPolicy::DidNotRun(const FailedAttempt& aAttempt)
{
  return aAttempt.mKind == FailureKind::NotStarted ||
         !aAttempt.mBytesMayHaveArrived;
}

WorkOutcome AttemptPolicy::Outcome(const FailedAttempt& aAttempt)
{
  if (aAttempt.mKind == FailureKind::ServerError &&
      aAttempt.mBytesMayHaveArrived) {
    return WorkOutcome::Run;
  }
  if (DidNotRun(aAttempt) && !aAttempt.mOtherMayHaveRun) {
    return WorkOutcome::NotRun;
  }
  return WorkOutcome::NotKnown;
}

AttemptDecision AttemptPolicy::Decide(base::TimePoint aNow,
                                      const FailedAttempt& aAttempt,
                                      RetryBudget& aBudget)
{
  const bool safe = aAttempt.mWork == WorkKind::Idempotent ||
                    Outcome(aAttempt) == WorkOutcome::NotRun;
  const bool allowed = !aAttempt.mResponseStarted && !aAttempt.mQuarantined &&
                       !aAttempt.mForwarded;
  const bool possible =
    aAttempt.mAttempts < kMaxAttempts && aAttempt.mRemaining >= kMinRemaining;
  // A refused connection adds no load to the upstream, so a retry elsewhere
  // can't amplify an overload and needs no budget.
  const bool isFree =
    aAttempt.mKind == FailureKind::Refused && !aAttempt.mBytesMayHaveArrived;
  if (safe && allowed && possible && (isFree || aBudget.TrySpend(aNow))) {
    return RetryElsewhere{};
  }
  return GiveUp{ Outcome(aAttempt) };
}

} // namespace auburnmux::retries
