#include "carriage/src/RequestLife.h"

#include <cassert>
#include <utility>

namespace auburnmux::carriage {

namespace {

/** Attempts that reach no upstream before the request is refused. */
constexpr std::uint32_t kMaxRejections = 3;

} // namespace

const char* ReasonName(Reason aReason)
{
  switch (aReason) {
    case Reason::NoConfiguration:
      return "no_configuration";
    case Reason::NoRoom:
      return "no_room";
    case Reason::NoUpstream:
      return "no_upstream";
    case Reason::NoBudget:
      return "no_budget";
    case Reason::Quarantined:
      return "quarantined";
    case Reason::Stopping:
      return "stopping";
    case Reason::TimeUpUnsent:
      return "time_up_unsent";
    case Reason::TimeUp:
      return "time_up";
    case Reason::Broken:
      return "broken";
    case Reason::Rejected:
      return "rejected";
  }
  return "unknown";
}

RequestLife::RequestLife(const RequestTerms& aTerms)
  : mTerms(aTerms)
{
  assert(mTerms.mMaxAttempts > 0);
}

LifeActions RequestLife::OnReadable()
{
  if (!Is<Reading>()) {
    return {};
  }
  mPhase = Seeking{};
  return { Seek{ false } };
}

LifeActions RequestLife::OnRefused(Reason aReason, base::Duration aRetryAfter)
{
  if (!Is<Reading>()) {
    return {};
  }
  return End(Refuse{ aReason, aRetryAfter });
}

void RequestLife::OnPlaced()
{
  assert(Is<Seeking>());
  ++mAttempts;
  mPhase = Attempting{};
}

LifeActions RequestLife::OnNoPlace(Reason aReason, base::Duration aRetryAfter)
{
  if (!Is<Seeking>()) {
    return {};
  }
  if (mMayHaveRun) {
    return End(Fail{ Reason::Broken });
  }
  return End(Refuse{ aReason, aRetryAfter });
}

LifeActions RequestLife::SeekAgain(bool aIsRepeat)
{
  mPhase = Seeking{};
  return { Seek{ aIsRepeat } };
}

LifeActions RequestLife::End(LifeAction aAction)
{
  mPhase = Ended{};
  return { aAction };
}

LifeActions RequestLife::OnResponse(const ResponseMeaning& aMeaning)
{
  if (Is<Streaming>()) {
    mPhase = Ended{};
    return {};
  }
  if (!Is<Attempting>()) {
    return {};
  }
  if (aMeaning.mIsNotRun) {
    mHadRoom = aMeaning.mHadRoom;
    if (++mRejections < kMaxRejections) {
      return SeekAgain(true);
    }
    return mMayHaveRun ? End(Fail{ Reason::Rejected })
                       : End(Refuse{ Reason::Rejected, RejectedRetryAfter() });
  }
  mMayHaveRun = true;
  ++mRuns;
  if (aMeaning.mIsFailure && mTerms.mMayRepeat && mRuns < mTerms.mMaxAttempts) {
    return SeekAgain(true);
  }
  return End(Relay{});
}

LifeActions RequestLife::OnAttemptFailed(bool aMayHaveReached)
{
  if (Is<Streaming>()) {
    return End(Fail{ Reason::Broken });
  }
  if (!Is<Attempting>()) {
    return {};
  }
  if (!aMayHaveReached) {
    if (++mRejections < kMaxRejections) {
      return SeekAgain(false);
    }
    return mMayHaveRun ? End(Fail{ Reason::Broken })
                       : End(Refuse{ Reason::NoUpstream, kFullRetryAfter });
  }
  mMayHaveRun = true;
  ++mRuns;
  if (mTerms.mMayRepeat && mRuns < mTerms.mMaxAttempts) {
    return SeekAgain(true);
  }
  return End(Fail{ Reason::Broken });
}

void RequestLife::OnStreaming()
{
  assert(Is<Attempting>());
  mPhase = Streaming{};
}

bool RequestLife::MayReplaceAttempt() const
{
  return Is<Attempting>() && mTerms.mMayRepeat && mIsBodyKept && !mIsReplaced &&
         mRuns + 1 < mTerms.mMaxAttempts;
}

void RequestLife::OnAttemptReplaced()
{
  assert(MayReplaceAttempt());
  mIsReplaced = true;
  mMayHaveRun = true;
  ++mRuns;
  ++mAttempts;
}

LifeActions RequestLife::OnTimeUp()
{
  if (Is<Ended>()) {
    return {};
  }
  const bool isSent = Is<Attempting>() || Is<Streaming>();
  mPhase = Ended{};
  if (isSent) {
    return { CancelAttempt{}, Fail{ Reason::TimeUp } };
  }
  if (mMayHaveRun) {
    return { Fail{ Reason::TimeUp } };
  }
  return { Refuse{ Reason::TimeUpUnsent, {} } };
}

LifeActions RequestLife::OnCallerGone()
{
  const bool isSent = Is<Attempting>() || Is<Streaming>();
  mPhase = Ended{};
  if (isSent) {
    return { CancelAttempt{} };
  }
  return {};
}

} // namespace auburnmux::carriage
