#include "soak/src/Ledger.h"

#include <algorithm>

namespace auburnmux::soak {

namespace {

/** Time without faults after which promises with a bound hold again; the bounds
 * are those that the users state for both deployments. */
constexpr base::Duration kCalm = std::chrono::milliseconds(4000);
constexpr base::Duration kDrain = std::chrono::milliseconds(2500);
constexpr base::Duration kEvacuation = std::chrono::milliseconds(5000);
constexpr base::Duration kVersionInForce = std::chrono::milliseconds(2500);

/** Time within which work for a caller that has left has to end. */
constexpr base::Duration kWorkAfterLeaving = std::chrono::milliseconds(500);

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

} // namespace

Ledger::Ledger(bool aChecksTime)
  : mChecksTime(aChecksTime)
{
}

void Ledger::Report(const std::string& aPromise, const std::string& aWhat)
{
  mBreaches.push_back("breach promise=" + aPromise + ' ' + aWhat);
}

bool Ledger::IsCalmSince(base::TimePoint aSince) const
{
  return !mDisturbedUntil || *mDisturbedUntil + kCalm <= aSince;
}

void Ledger::OnRun(base::TimePoint aNow, const std::string& aId,
                   bool aMayRepeat, const std::string& aUpstream,
                   const std::string& aCentre)
{
  Request& request = mRequests[aId];
  ++request.mRuns;
  const std::string who = "id=" + aId + " upstream=" + aUpstream;
  if (!aMayRepeat && request.mRuns > 1) {
    Report("once", who);
  }
  if (!aMayRepeat && request.mIsRefused) {
    Report("refused_never_runs", who);
  }
  const bool isLinkCalm = !mLinkFaultUntil || *mLinkFaultUntil + kCalm <= aNow;
  if (mChecksTime && isLinkCalm && request.mLeft &&
      aNow > *request.mLeft + kWorkAfterLeaving) {
    Report("no_work_begins_for_callers_that_left", who);
  }
  const auto leaving = mLeaving.find(aUpstream);
  if (mChecksTime && leaving != mLeaving.end() &&
      aNow > leaving->second + kDrain && IsCalmSince(leaving->second)) {
    Report("drain", who);
  }
  const auto evacuated = mEvacuated.find(aCentre);
  if (mChecksTime && evacuated != mEvacuated.end() &&
      aNow > evacuated->second + kEvacuation &&
      IsCalmSince(evacuated->second)) {
    Report("evacuation", who);
  }
}

void Ledger::OnAnswer(base::TimePoint aNow, const Answer& aAnswer)
{
  ++mAnswers;
  mSuccesses += aAnswer.mStatus == kOk ? 1 : 0;
  Request& request = mRequests[aAnswer.mId];
  const std::string who = "id=" + aAnswer.mId;
  if (aAnswer.mStatus == kOk && !aAnswer.mIsOwn) {
    Report("own_whole_response", who);
  }
  const bool isRefusal =
    aAnswer.mStatus == kUnavailable || aAnswer.mStatus == kTooManyRequests;
  request.mIsRefused = request.mIsRefused || isRefusal;
  if (isRefusal && !aAnswer.mMayRepeat && request.mRuns > 0) {
    Report("refused_did_not_run", who);
  }
  const bool isCutByStop =
    aAnswer.mStatus == 0 && request.mRuns > 0 && aAnswer.mWasHostStopping;
  if (isCutByStop && IsCalmSince(aNow - kCalm)) {
    Report("planned_stop_cuts_nothing", who);
  }
}

void Ledger::OnCallerLeft(base::TimePoint aNow, const std::string& aId)
{
  mRequests[aId].mLeft = aNow;
}

void Ledger::OnWorkDone(base::TimePoint aNow, const std::string& aId)
{
  const Request& request = mRequests[aId];
  if (mChecksTime && request.mLeft &&
      aNow > *request.mLeft + kWorkAfterLeaving &&
      IsCalmSince(*request.mLeft)) {
    Report("work_ends_for_callers_that_left", "id=" + aId);
  }
}

void Ledger::OnLeaving(base::TimePoint aNow, const std::string& aUpstream)
{
  mLeaving[aUpstream] = aNow;
}

void Ledger::OnEvacuation(base::TimePoint aNow, const std::string& aCentre,
                          bool aIsOn)
{
  if (aIsOn) {
    mEvacuated[aCentre] = aNow;
  } else {
    mEvacuated.erase(aCentre);
  }
}

void Ledger::OnVersion(base::TimePoint aNow, int aVersion)
{
  mVersions[aVersion] = aNow;
}

void Ledger::OnVersionProbe(base::TimePoint aSent, const std::string& aProcess,
                            int aVersion, bool aIsKnown)
{
  int& known = mKnownVersion[aProcess];
  const std::string who =
    "process=" + aProcess + " version=" + std::to_string(aVersion);
  if (aIsKnown) {
    known = std::max(known, aVersion);
    return;
  }
  if (known >= aVersion) {
    Report("versions_never_go_back", who);
  }
  const base::TimePoint published = mVersions.at(aVersion);
  if (mChecksTime && aSent > published + kVersionInForce &&
      IsCalmSince(published)) {
    Report("version_in_force", who);
  }
}

void Ledger::OnDisturbance(base::TimePoint aUntil)
{
  mDisturbedUntil = std::max(mDisturbedUntil.value_or(aUntil), aUntil);
}

void Ledger::OnLinkFault(base::TimePoint aUntil)
{
  mLinkFaultUntil = std::max(mLinkFaultUntil.value_or(aUntil), aUntil);
}

void Ledger::OnUnexpectedEnd(const std::string& aProcess, int aCode)
{
  Report("processes_stay",
         "process=" + aProcess + " code=" + std::to_string(aCode));
}

} // namespace auburnmux::soak
