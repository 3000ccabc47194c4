#include "entry/src/RequestForwarder.h"

#include <cstdio>

namespace auburnmux::entry {

namespace {

using carriage::Reason;

std::string FormatSeconds(base::Duration aTime)
{
  char buf[32];
  const std::chrono::duration<double> seconds = aTime;
  const int n = std::snprintf(buf, sizeof buf, "%.3f", seconds.count());
  return { buf, static_cast<std::size_t>(n) };
}

std::int64_t Milliseconds(base::Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

void RequestForwarder::Relay()
{
  StopTimer();
  http::ResponseHead head = mAttempt->Head();
  http::RemoveHopByHop(head.mHeaders);
  if (mExchange->Head().mMethod != "HEAD") {
    head.mContentLength = base::ByteCount(mAttempt->Body().size());
  }
  const std::string body = mAttempt->TakeBody();
  ReleaseBuffers();
  LogEnd("relayed", head.mStatus);
  mIsAnswered = true;
  mExchange->SendHead(head);
  mExchange->SendBody(body);
  if (!mExchange->IsClosed()) {
    mExchange->Finish();
  }
}

void RequestForwarder::ReleaseBuffers()
{
  mBody.Release();
  mFailureResponse.reset();
}

void RequestForwarder::Refuse(Reason aReason, base::Duration aRetryAfter)
{
  ReleaseBuffers();
  LeaveQueue();
  StopTimer();
  if (aReason == Reason::UnknownKey) {
    RespondUnknownKey();
    return;
  }
  constexpr int kStatusTooManyRequests = 429;
  constexpr int kStatusUnavailable = 503;
  const int status =
    aReason == Reason::OverQuota ? kStatusTooManyRequests : kStatusUnavailable;
  LogEnd(carriage::ReasonName(aReason), status);
  mIsAnswered = true;
  http::Headers headers;
  if (aRetryAfter > base::Duration::zero()) {
    headers.Append("retry-after", FormatSeconds(aRetryAfter));
  }
  mExchange->Respond(status, headers, "");
}

void RequestForwarder::RespondUnknownRoute()
{
  if (!mServices.IsConfigurationCurrent(mServices.mLoop.Now())) {
    Refuse(Reason::OutdatedConfiguration, kOutdatedRetryAfter);
    return;
  }
  LogEnd("no_route", 404);
  mIsAnswered = true;
  mExchange->Respond(404, {}, "");
}

void RequestForwarder::RespondUnknownKey()
{
  LogEnd(carriage::ReasonName(Reason::UnknownKey), 401);
  mIsAnswered = true;
  mExchange->Respond(401, {}, "");
}

void RequestForwarder::SendFailure(Reason aReason)
{
  LeaveQueue();
  if (mIsAnswered) { // part of a response was sent
    StopTimer();
    LogEnd("cut", 0);
    mExchange->Abort();
    return;
  }
  if (mFailureResponse) {
    mAttempt = mFailureResponse;
    Relay();
    return;
  }
  StopTimer();
  ReleaseBuffers();
  const int status = aReason == Reason::DeadlineExceeded ? 504 : 502;
  LogEnd(carriage::ReasonName(aReason), status);
  mIsAnswered = true;
  mExchange->Respond(status, {}, "");
}

void RequestForwarder::OnResponseDue()
{
  if (mStateMachine && !mStateMachine->IsEnded()) {
    LogCut();
    Execute(mStateMachine->OnStopping(mIsAttemptOpen &&
                                        mAttempt->Exchange().MayHaveReached(),
                                      kStoppingRetryAfter));
  }
}

void RequestForwarder::OnClosed(bool aIsComplete)
{
  if (mStateMachine && !mStateMachine->IsEnded()) {
    LogEnd(aIsComplete ? "ended_by_connection" : "client_gone", 0);
    Execute(mStateMachine->OnCallerGone());
  }
  LeaveQueue();
  StopTimer();
}

void RequestForwarder::LogEnd(std::string_view aOutcome, int aStatus)
{
  base::LogLine line("request");
  line.With("id", mFields.mId)
    .With("outcome", aOutcome)
    .With("status", aStatus)
    .With("ms", Milliseconds(mServices.mLoop.Now() - mArrived))
    .With("config", mServices.mRoutes.Version());
  const auto age = mServices.mConfirmation.Age(mServices.mLoop.Now());
  const bool isDecidedByAge =
    !mRoute || aOutcome == carriage::ReasonName(Reason::UnknownKey) ||
    aOutcome == carriage::ReasonName(Reason::UnconfirmedKey);
  if (isDecidedByAge && age) {
    line.With("config_confirmed_ms", Milliseconds(*age));
  }
  if (mRoute) {
    line.With("route", mRoute->mId)
      .With("service", mPlaceRequest.mService)
      .With("object", mFields.mObject.value_or(""));
  }
  if (mSender && mSender->mCustomer) {
    line.With("customer", mSender->mCustomer->mId);
  }
  if (mStateMachine && mStateMachine->Attempts() > 0) {
    line.With("attempts", mStateMachine->Attempts())
      .With("upstream", mAttempt->Place().mUpstream)
      .With("warmth", static_cast<int>(mAttempt->Place().mWarmth))
      .With("expected_ms", Milliseconds(mAttempt->Place().mExpected))
      .With("attempt_ms", Milliseconds(mAttempt->Elapsed()))
      .With("waited_ms", Milliseconds(mQueueTime));
  }
  base::LogInfo(line);
  if (mRoute) {
    const base::TimePoint now = mServices.mLoop.Now();
    mServices.mMetrics.Observe("auburnmux_request_seconds",
                               { { "route", mRoute->mId.Text() } }, now,
                               now - mArrived);
  }
  mServices.mMetrics.Count("auburnmux_requests_total",
                           { { "outcome", std::string(aOutcome) } });
}

std::string_view RequestForwarder::WaitsFor() const
{
  if (mIsAnswered) {
    return "client"; // to read the response, or earlier ones
  }
  if (mIsAttemptOpen) {
    return "upstream";
  }
  if (mQuotaWaiter) {
    return "quota";
  }
  return mTicket ? "slot" : "body";
}

void RequestForwarder::LogCut() const
{
  base::LogLine line("request_cut");
  line.With("id", mFields.mId)
    .With("waits_for", WaitsFor())
    .With("ms", Milliseconds(mServices.mLoop.Now() - mArrived))
    .With("body", mBody.Size())
    .With("body_complete", mBody.IsComplete())
    .With("client_pending", mExchange->PendingBytes());
  if (mIsAttemptOpen) {
    line.With("upstream", mAttempt->Place().mUpstream)
      .With("attempt_ms", Milliseconds(mAttempt->Elapsed()))
      .With("has_head", mAttempt->HasHead())
      .With("unacknowledged", mAttempt->Exchange().UnacknowledgedBytes());
  }
  base::LogWarning(line);
}

void RequestForwarder::LogCancelled(placing::Outcome aOutcome)
{
  const bool isStraggler = aOutcome == placing::Outcome::Replaced;
  const std::string_view reason = isStraggler             ? "straggler"
                                  : mExchange->IsClosed() ? "client_gone"
                                  : TimeLeft() > base::Duration::zero()
                                    ? "stopping"
                                    : "time_up";
  const auto unacknowledged = mAttempt->Exchange().UnacknowledgedBytes();
  base::LogInfo(base::LogLine("attempt_cancelled")
                  .With("id", mFields.mId)
                  .With("upstream", mAttempt->Place().mUpstream)
                  .With("reason", reason)
                  .With("ms", Milliseconds(mAttempt->Elapsed()))
                  .With("unacknowledged", unacknowledged));
  mServices.mMetrics.Count(
    "auburnmux_attempts_cancelled_total",
    { { "reason", std::string(reason) },
      { "unacknowledged",
        unacknowledged > base::ByteCount(0) ? "some" : "none" } });
}

void RequestForwarder::LogStraggler(const base::UpstreamId& aTo)
{
  base::LogInfo(
    base::LogLine("straggler")
      .With("id", mFields.mId)
      .With("upstream", mAttempt->Place().mUpstream)
      .With("expected_ms", Milliseconds(mAttempt->Place().mExpected))
      .With("ms", Milliseconds(mAttempt->Elapsed()))
      .With("to", aTo));
}

} // namespace auburnmux::entry
