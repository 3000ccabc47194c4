#include "carriage/src/RequestStateMachine.h"

#include <cassert>
#include <utility>

namespace auburnmux::carriage {

namespace {

/** Attempts without a run, because the upstream was unreachable or rejected the
 * request, after which no further attempt is made. */
constexpr std::uint32_t kMaxRejections = 3;

} // namespace

const char* ReasonName(Reason aReason)
{
  switch (aReason) {
    case Reason::NoConfiguration:
      return "no_configuration";
    case Reason::OutdatedConfiguration:
      return "outdated_configuration";
    case Reason::UnknownKey:
      return "unknown_key";
    case Reason::UnconfirmedKey:
      return "unconfirmed_key";
    case Reason::NoCommonRegion:
      return "no_common_region";
    case Reason::OverQuota:
      return "over_quota";
    case Reason::QuotaUnknown:
      return "quota_unknown";
    case Reason::NoCapacity:
      return "no_room";
    case Reason::NoUpstream:
      return "no_upstream";
    case Reason::NoBudget:
      return "no_budget";
    case Reason::MemoryLimit:
      return "memory_limit";
    case Reason::Quarantined:
      return "quarantined";
    case Reason::Stopping:
      return "stopping";
    case Reason::DeadlineExceededUnsent:
      return "time_up_unsent";
    case Reason::DeadlineExceeded:
      return "time_up";
    case Reason::Broken:
      return "broken";
    case Reason::Rejected:
      return "rejected";
  }
  return "unknown";
}

RequestStateMachine::RequestStateMachine(const RequestRetryPolicy& aRetryPolicy)
  : mRetryPolicy(aRetryPolicy)
{
  assert(mRetryPolicy.mMaxAttempts > 0);
}

RequestActions RequestStateMachine::OnReadyToSend()
{
  if (!Is<Reading>()) {
    return {};
  }
  mPhase = Selecting{};
  return { SelectUpstream{ false } };
}

RequestActions RequestStateMachine::OnRefused(Reason aReason,
                                              base::Duration aRetryAfter)
{
  if (!Is<Reading>()) {
    return {};
  }
  return End(Refuse{ aReason, aRetryAfter });
}

void RequestStateMachine::OnUpstreamSelected()
{
  assert(Is<Selecting>());
  ++mAttempts;
  mPhase = Attempting{};
}

RequestActions RequestStateMachine::OnSelectionFailed(
  Reason aReason, base::Duration aRetryAfter)
{
  if (!Is<Selecting>()) {
    return {};
  }
  if (mMayHaveRun) {
    return End(Fail{ Reason::Broken });
  }
  return End(Refuse{ aReason, aRetryAfter });
}

RequestActions RequestStateMachine::SelectAgain(bool aUsesRetryBudget)
{
  mPhase = Selecting{};
  return { SelectUpstream{ aUsesRetryBudget } };
}

RequestActions RequestStateMachine::End(RequestAction aAction)
{
  mPhase = Ended{};
  return { aAction };
}

RequestActions RequestStateMachine::OnResponse(
  const ResponseClassification& aClassification)
{
  if (Is<Streaming>()) {
    mPhase = Ended{};
    return {};
  }
  if (!Is<Attempting>()) {
    return {};
  }
  if (aClassification.mIsNotRun) {
    mHadFreeSlot = aClassification.mHadFreeSlot;
    if (++mRejections < kMaxRejections) {
      return SelectAgain(true);
    }
    return mMayHaveRun ? End(Fail{ Reason::Rejected })
                       : End(Refuse{ Reason::Rejected, RejectedRetryAfter() });
  }
  mMayHaveRun = true;
  ++mRuns;
  if (aClassification.mIsFailure && mRetryPolicy.mMayRepeat &&
      mRuns < mRetryPolicy.mMaxAttempts) {
    return SelectAgain(true);
  }
  return End(Relay{});
}

RequestActions RequestStateMachine::OnAttemptFailed(bool aMayHaveReached)
{
  if (Is<Streaming>()) {
    return End(Fail{ Reason::Broken });
  }
  if (!Is<Attempting>()) {
    return {};
  }
  if (!aMayHaveReached) {
    if (++mRejections < kMaxRejections) {
      return SelectAgain(false);
    }
    return mMayHaveRun ? End(Fail{ Reason::Broken })
                       : End(Refuse{ Reason::NoUpstream, kFullRetryAfter });
  }
  mMayHaveRun = true;
  ++mRuns;
  if (mRetryPolicy.mMayRepeat && mRuns < mRetryPolicy.mMaxAttempts) {
    return SelectAgain(true);
  }
  return End(Fail{ Reason::Broken });
}

void RequestStateMachine::OnStreaming()
{
  assert(Is<Attempting>());
  mPhase = Streaming{};
}

bool RequestStateMachine::MayReplaceAttempt() const
{
  return Is<Attempting>() && mRetryPolicy.mMayRepeat && mIsBodyBuffered &&
         !mIsReplaced && mRuns + 1 < mRetryPolicy.mMaxAttempts;
}

void RequestStateMachine::OnAttemptReplaced()
{
  assert(MayReplaceAttempt());
  mIsReplaced = true;
  mMayHaveRun = true;
  ++mRuns;
  ++mAttempts;
}

RequestActions RequestStateMachine::OnDeadlineExceeded()
{
  if (Is<Ended>()) {
    return {};
  }
  const bool isSent = Is<Attempting>() || Is<Streaming>();
  mPhase = Ended{};
  if (isSent) {
    return { CancelAttempt{}, Fail{ Reason::DeadlineExceeded } };
  }
  if (mMayHaveRun) {
    return { Fail{ Reason::DeadlineExceeded } };
  }
  return { Refuse{ Reason::DeadlineExceededUnsent, {} } };
}

RequestActions RequestStateMachine::OnStopping(bool aMayHaveReached,
                                               base::Duration aRetryAfter)
{
  if (Is<Ended>()) {
    return {};
  }
  RequestActions actions;
  if (Is<Attempting>() || Is<Streaming>()) {
    mMayHaveRun = mMayHaveRun || aMayHaveReached;
    actions.emplace_back(CancelAttempt{});
  }
  mPhase = Ended{};
  if (mMayHaveRun) {
    actions.emplace_back(Fail{ Reason::Stopping });
  } else {
    actions.emplace_back(Refuse{ Reason::Stopping, aRetryAfter });
  }
  return actions;
}

RequestActions RequestStateMachine::OnCallerGone()
{
  const bool isSent = Is<Attempting>() || Is<Streaming>();
  mPhase = Ended{};
  if (isSent) {
    return { CancelAttempt{} };
  }
  return {};
}

} // namespace auburnmux::carriage
