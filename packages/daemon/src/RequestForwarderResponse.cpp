// RequestForwarder: response to the caller, claim outcome and cleanup.

#include "daemon/src/RequestForwarder.h"

#include "daemon/src/ServiceRuntime.h"

#include <algorithm>
#include <utility>

namespace auburnmux::daemon {

void RequestForwarder::RecordOutcome(const http::ResponseHead& aHead,
                                     const std::string& aBody,
                                     bool aIsBodyOmitted)
{
  const auto type = aHead.mHeaders.Find("content-type");
  const idempotency::StatusCode status(
    static_cast<std::uint16_t>(aHead.mStatus));
  mService.Dependencies().mClaims.OnOutcome(
    *mClaim,
    idempotency::Bounded(
      { status, aBody, std::string(type.value_or("")), aIsBodyOmitted }));
  mClaim.reset();
}

void RequestForwarder::SettleClaim(base::WorkOutcome aOutcome)
{
  if (!mClaim || !mIsClaimGranted) {
    return;
  }
  if (aOutcome == base::WorkOutcome::NotRun) {
    mService.Dependencies().mClaims.OnNotStarted(*mClaim);
  } else {
    mService.Dependencies().mClaims.OnLost(*mClaim);
  }
  mClaim.reset();
}

void RequestForwarder::CancelAttempts(const UpstreamAttempt* aExcept)
{
  const DaemonContext& context = mService.Context();
  const auto attempts = mAttempts;
  for (const auto& it : attempts) {
    if (it.get() == aExcept) {
      continue;
    }
    Cancel(*it);
    balancing::VisitPool(mService.Upstreams().Pool(), [&](auto& aPool) {
      aPool.OnCancel(context.mLoop.Now(), context.mRandom, it->Id());
    });
    EndAttempt(*it, "cancelled");
  }
}

void RequestForwarder::Cancel(UpstreamAttempt& aAttempt)
{
  const bool isRunning = aAttempt.MayHaveReached() && !aAttempt.IsOver();
  aAttempt.Cancel();
  const auto* upstream = std::get_if<base::UpstreamId>(&aAttempt.Target());
  if (isRunning && upstream != nullptr && !mHasSucceeded) {
    mService.Dependencies().mCrashes.OnCancelled(
      mFingerprint,
      { *upstream, aAttempt.StartTime(), mService.Context().mLoop.Now() },
      mPlan.mDeadline);
  }
}

void RequestForwarder::EndAttempt(UpstreamAttempt& aAttempt,
                                  const char* aResult, TicketEnd aEnd)
{
  AddSpan("attempt", aAttempt.StartTime(), TargetText(aAttempt.Target()),
          aResult);
  const auto ticket = mTickets.find(aAttempt.Id());
  if (ticket != mTickets.end()) {
    mService.Dependencies().mSpill.ReturnTicket(mPlan.mService, ticket->second,
                                                aEnd);
    mTickets.erase(ticket);
  }
  if (mCommittedAttempt == &aAttempt) {
    mCommittedAttempt = nullptr;
  }
  const auto isSame = [&](const auto& aIt) { return aIt.get() == &aAttempt; };
  mAttempts.erase(std::remove_if(mAttempts.begin(), mAttempts.end(), isSame),
                  mAttempts.end());
}

http::ResponseHead RequestForwarder::RelayedHead(
  const http::ResponseHead& aHead, base::WorkOutcome aOutcome) const
{
  http::ResponseHead head = aHead;
  head.mHeaders.Remove("upstream-load");
  head.mHeaders.Remove("upstream-state");
  head.mHeaders.Set("work-outcome", OutcomeText(aOutcome));
  return head;
}

void RequestForwarder::RelayResponse(const http::ResponseHead& aHead,
                                     const std::string& aBody,
                                     base::WorkOutcome aOutcome)
{
  if (mIsAnswered || mExchange->IsClosed()) {
    return;
  }
  http::ResponseHead head = RelayedHead(aHead, aOutcome);
  if (mExchange->Head().mMethod != "HEAD") {
    head.mContentLength = base::ByteCount(aBody.size());
  }
  mExchange->SendHead(head);
  mExchange->SendBody(aBody);
  mExchange->Finish();
}

void RequestForwarder::Refuse(const Refusal& aRefusal)
{
  if (mIsFinished) {
    return;
  }
  SettleClaim(aRefusal.mOutcome);
  CancelAttempts(nullptr);
  if (!mIsAnswered && !mExchange->IsClosed()) {
    SendRefusal(*mExchange, aRefusal);
  }
  Finish(OutcomeText(aRefusal.mOutcome));
}

void RequestForwarder::Finish(const std::string& aResult)
{
  if (std::exchange(mIsFinished, true)) {
    return;
  }
  const auto self = shared_from_this();
  if (std::exchange(mIsQueued, false)) {
    mService.RemoveFromQueue(mId);
  }
  if (mAdmittedSender) {
    mService.Dependencies().mSpill.OnAdmittedEnd(mPlan.mService,
                                                 *mAdmittedSender);
  }
  const DaemonContext& context = mService.Context();
  const telemetry::Labels labels = { { "service", mPlan.mService.Text() },
                                     { "class",
                                       config::WorkClassName(mPlan.mClass) },
                                     { "result", aResult } };
  const base::TimePoint now = context.mLoop.Now();
  context.mMetrics.Count("auburnmux_requests_total", labels);
  context.mMetrics.Observe("auburnmux_request_seconds", labels, now,
                           now - mPlan.mArrival);
  AddSpan("answer", mPlan.mArrival, "", aResult);
  mService.OnFinished(mId);
}

void RequestForwarder::AddSpan(const char* aName, base::TimePoint aStart,
                               const std::string& aTarget,
                               const std::string& aResult)
{
  const DaemonContext& context = mService.Context();
  telemetry::Span span;
  span.mContext = mPlan.mTrace;
  span.mParent = mPlan.mParentSpan;
  span.mName = aName;
  span.mService = mPlan.mService.Text();
  span.mTarget = aTarget;
  span.mStart = aStart;
  span.mDuration = context.mLoop.Now() - aStart;
  span.mResult = aResult;
  context.mSpans.Add(std::move(span));
}

} // namespace auburnmux::daemon
