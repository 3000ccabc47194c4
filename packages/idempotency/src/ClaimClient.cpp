#include "idempotency/src/ClaimClient.h"

#include <algorithm>
#include <utility>

namespace auburnmux::idempotency {
namespace {

/**
 * Attempt numbers count up from the incarnation's start time in milliseconds,
 * shifted left by this many bits. As a host makes fewer than 2^20 attempts per
 * millisecond, all numbers of its next incarnation are higher.
 */
constexpr unsigned kAttemptShiftBits = 20;

} // namespace

ClaimClient::ClaimClient(base::Incarnation aIncarnation,
                         ClaimClientSettings aSettings)
  : mIncarnation(aIncarnation)
  , mSettings(aSettings)
  , mLastAttempt(aIncarnation.Count() << kAttemptShiftBits)
{
}

std::pair<AttemptNumber, ClaimClientActions> ClaimClient::Start(
  const IdempotencyKey& aKey, RequestHash aRequestHash, const Now& aNow)
{
  mLastAttempt += AttemptNumber(1);
  const AttemptNumber number = mLastAttempt;
  auto out = AnswerLocally(number, aKey, aRequestHash, aNow);
  if (out.empty()) {
    const auto due = aNow.mTime + mSettings.mReplyTimeout;
    mAttempts.emplace(
      number,
      Attempt{ aKey, aRequestHash, State::Waiting, due, {}, Outcome{} });
    out.emplace_back(SendClaimRequest{ number, aKey, aRequestHash });
  }
  return { number, std::move(out) };
}

ClaimClientActions ClaimClient::AnswerLocally(AttemptNumber aAttempt,
                                              const IdempotencyKey& aKey,
                                              RequestHash aRequestHash,
                                              const Now& aNow)
{
  const Retention& retention = mSettings.mRetention;
  if (aKey.Time() < retention.AcceptedSince(aNow.mWall)) {
    return { AnswerNotKnown{ aAttempt } };
  }
  if (aKey.Time() > retention.AcceptedUntil(aNow.mWall)) {
    return { AnswerNotRun{ aAttempt, NotRunReason::FutureKey } };
  }
  const auto first = mDispatchedKeys.find(aKey);
  if (first != mDispatchedKeys.end()) {
    return { AnswerFrom(mAttempts.at(first->second), aAttempt, aRequestHash) };
  }
  if (mAttempts.size() >= mSettings.mMaxAttempts) {
    return { AnswerNotRun{ aAttempt, NotRunReason::TooManyAttempts } };
  }
  return {};
}

ClaimClientAction ClaimClient::AnswerFrom(const Attempt& aFirst,
                                          AttemptNumber aAttempt,
                                          RequestHash aRequestHash) const
{
  if (aFirst.mRequestHash != aRequestHash) {
    return AnswerNotRun{ aAttempt, NotRunReason::Mismatch };
  }
  if (aFirst.mState == State::Ran || aFirst.mState == State::Recorded) {
    return AnswerRan{ aAttempt, aFirst.mOutcome };
  }
  return AnswerNotKnown{ aAttempt };
}

ClaimClientActions ClaimClient::OnReply(AttemptNumber aAttempt,
                                        ClaimVerdict aVerdict, Outcome aOutcome,
                                        const Now& aNow)
{
  const auto it = mAttempts.find(aAttempt);
  if (it == mAttempts.end()) {
    return OnLateReply(aAttempt, aVerdict);
  }
  Attempt& attempt = it->second;
  if (attempt.mState == State::Ran && aVerdict == ClaimVerdict::Ran) {
    attempt.mState = State::Recorded;
    attempt.mDue = aNow.mTime + mSettings.mRecordedRetention;
  }
  if (attempt.mState != State::Waiting) {
    return {};
  }
  ClaimClientActions out;
  if (aNow.mTime >= attempt.mDue) {
    OnDue(it, aNow, out);
  } else if (aVerdict == ClaimVerdict::Granted) {
    attempt.mState = State::Dispatched;
    mDispatchedKeys.insert_or_assign(attempt.mKey, aAttempt);
    out.emplace_back(Dispatch{ aAttempt });
  } else if (aVerdict == ClaimVerdict::Unavailable) {
    // The owner may have written the claim without learning the result.
    out.emplace_back(AnswerNotRun{ aAttempt, NotRunReason::Unavailable });
    CloseAndRelease(it, out);
  } else {
    out.push_back(AnswerFrom(aVerdict, aAttempt, std::move(aOutcome)));
    Close(it);
  }
  return out;
}

ClaimClientAction ClaimClient::AnswerFrom(ClaimVerdict aVerdict,
                                          AttemptNumber aAttempt,
                                          Outcome aOutcome)
{
  if (aVerdict == ClaimVerdict::Ran) {
    return AnswerRan{ aAttempt, std::move(aOutcome) };
  }
  if (aVerdict == ClaimVerdict::Mismatch) {
    return AnswerNotRun{ aAttempt, NotRunReason::Mismatch };
  }
  return AnswerNotKnown{ aAttempt };
}

ClaimClientActions ClaimClient::OnLateReply(AttemptNumber aAttempt,
                                            ClaimVerdict aVerdict)
{
  const auto key = mClosed.Find(aAttempt);
  if (!key || aVerdict != ClaimVerdict::Granted) {
    return {};
  }
  return { SendClaimRelease{ aAttempt, *key } };
}

ClaimClientActions ClaimClient::OnOutcome(AttemptNumber aAttempt,
                                          Outcome aOutcome, const Now& aNow)
{
  ClaimClientActions out;
  const auto it = mAttempts.find(aAttempt);
  if (it != mAttempts.end() && it->second.mState == State::Dispatched) {
    Attempt& attempt = it->second;
    attempt.mState = State::Ran;
    attempt.mOutcome = Bounded(std::move(aOutcome));
    attempt.mResendDelay = mSettings.mInitialResendDelay;
    Resend(aAttempt, attempt, aNow, out);
  }
  return out;
}

void ClaimClient::OnLost(AttemptNumber aAttempt)
{
  const auto it = mAttempts.find(aAttempt);
  if (it != mAttempts.end() && it->second.mState == State::Dispatched) {
    Erase(it);
  }
}

ClaimClientActions ClaimClient::OnNotStarted(AttemptNumber aAttempt)
{
  ClaimClientActions out;
  const auto it = mAttempts.find(aAttempt);
  if (it != mAttempts.end() && it->second.mState == State::Dispatched) {
    CloseAndRelease(it, out);
  }
  return out;
}

ClaimClientActions ClaimClient::OnQuery(const base::HostId& aFrom,
                                        const ClaimHolder& aHolder,
                                        const IdempotencyKey& aKey,
                                        const Now& /*aNow*/)
{
  const AttemptNumber number = aHolder.mAttempt;
  SendClaimQueryAnswer answer{ aFrom, number, aKey, HolderState::NotKnown, {} };
  // This incarnation doesn't know whether an earlier one dispatched.
  if (aHolder.mIncarnation == mIncarnation) {
    answer.mState = StateOf(number);
    if (answer.mState == HolderState::Ran) {
      answer.mOutcome = mAttempts.at(number).mOutcome;
    }
  }
  return { std::move(answer) };
}

HolderState ClaimClient::StateOf(AttemptNumber aAttempt) const
{
  if (mClosed.Find(aAttempt)) {
    return HolderState::NeverDispatched;
  }
  const auto it = mAttempts.find(aAttempt);
  if (it == mAttempts.end()) {
    return HolderState::NotKnown;
  }
  const State state = it->second.mState;
  const bool isRan = state == State::Ran || state == State::Recorded;
  return isRan ? HolderState::Ran : HolderState::InProgress;
}

ClaimClientActions ClaimClient::OnTick(const Now& aNow)
{
  ClaimClientActions out;
  for (auto it = mAttempts.begin(); it != mAttempts.end();) {
    const auto next = std::next(it);
    if (it->second.mState != State::Dispatched &&
        it->second.mDue <= aNow.mTime) {
      OnDue(it, aNow, out);
    }
    it = next;
  }
  mClosed.RemoveOlderThan(mSettings.mRetention.RetainedSince(aNow.mWall));
  return out;
}

void ClaimClient::OnDue(Attempts::iterator aIt, const Now& aNow,
                        ClaimClientActions& aOut)
{
  Attempt& attempt = aIt->second;
  if (attempt.mState == State::Waiting) {
    aOut.emplace_back(AnswerNotRun{ aIt->first, NotRunReason::Deadline });
    CloseAndRelease(aIt, aOut);
  } else if (attempt.mState == State::Recorded ||
             attempt.mKey.Time() <
               mSettings.mRetention.RetainedSince(aNow.mWall)) {
    Erase(aIt);
  } else {
    Resend(aIt->first, attempt, aNow, aOut);
  }
}

void ClaimClient::Resend(AttemptNumber aNumber, Attempt& aAttempt,
                         const Now& aNow, ClaimClientActions& aOut)
{
  aOut.emplace_back(
    SendClaimOutcome{ aNumber, aAttempt.mKey, aAttempt.mOutcome });
  aAttempt.mDue = aNow.mTime + aAttempt.mResendDelay;
  aAttempt.mResendDelay =
    std::min(aAttempt.mResendDelay * 2, mSettings.mMaxResendDelay);
}

void ClaimClient::CloseAndRelease(Attempts::iterator aIt,
                                  ClaimClientActions& aOut)
{
  aOut.emplace_back(SendClaimRelease{ aIt->first, aIt->second.mKey });
  Close(aIt);
}

void ClaimClient::Close(Attempts::iterator aIt)
{
  mClosed.Add(aIt->first, aIt->second.mKey);
  Erase(aIt);
}

void ClaimClient::Erase(Attempts::iterator aIt)
{
  const auto key = mDispatchedKeys.find(aIt->second.mKey);
  if (key != mDispatchedKeys.end() && key->second == aIt->first) {
    mDispatchedKeys.erase(key);
  }
  mAttempts.erase(aIt);
}

} // namespace auburnmux::idempotency
