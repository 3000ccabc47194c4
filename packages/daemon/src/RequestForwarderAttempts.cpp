// RequestForwarder: events of the attempts, retries and failures.

#include "daemon/src/RequestForwarder.h"

#include "daemon/src/ServiceRuntime.h"

#include <algorithm>
#include <utility>

namespace auburnmux::daemon {

namespace {

// A response up to this size is buffered and relayed only when complete, so
// that the request can still be retried when the response breaks off.
constexpr std::size_t kMaxBufferedResponseBytes = std::size_t{ 256 } * 1024;

const char* FailureText(base::FailureKind aKind)
{
  switch (aKind) {
    case base::FailureKind::Refused:
      return "refused";
    case base::FailureKind::ConnectTimeout:
      return "connect_timeout";
    case base::FailureKind::Reset:
      return "reset";
    case base::FailureKind::ServerError:
      return "server_error";
    case base::FailureKind::Stalled:
      return "stalled";
    case base::FailureKind::NotStarted:
      return "not_started";
  }
  return "unknown";
}

base::FailureKind ToFailureKind(http::FailureKind aKind)
{
  switch (aKind) {
    case http::FailureKind::ConnectRefused:
    case http::FailureKind::ConnectFailed:
      return base::FailureKind::Refused;
    case http::FailureKind::ConnectTimeout:
      return base::FailureKind::ConnectTimeout;
    case http::FailureKind::Reset:
    case http::FailureKind::Truncated:
    case http::FailureKind::Malformed:
      return base::FailureKind::Reset;
  }
  return base::FailureKind::Reset;
}

/** Longest body of a rejection that is read, so that the connection can carry
 * other requests. */
constexpr std::size_t kMaxRejectionBodyBytes = std::size_t{ 16 } * 1024;

bool IsNotStarted(const http::ResponseHead& aHead)
{
  return aHead.mStatus >= 400 &&
         aHead.mHeaders.Find("work-outcome") == "not-run";
}

/** \returns the load in [0, 1] of a header such as "4/9" (requests in flight /
 * slots). */
std::optional<double> ParseLoad(std::string_view aText)
{
  const std::size_t n = aText.find('/');
  if (n == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string text(aText);
  const double inFlight = std::strtod(text.c_str(), nullptr);
  const double slots = std::strtod(text.c_str() + n + 1, nullptr);
  return slots > 0 ? std::optional(std::clamp(inFlight / slots, 0.0, 1.0))
                   : std::nullopt;
}

} // namespace

void RequestForwarder::ReportUpstreamSignals(const UpstreamAttempt& aAttempt)
{
  const auto* upstream = std::get_if<base::UpstreamId>(&aAttempt.Target());
  if (upstream == nullptr) {
    return;
  }
  const base::TimePoint now = mService.Context().mLoop.Now();
  const http::Headers& headers = aAttempt.Head().mHeaders;
  const auto load = headers.Find("upstream-load");
  const auto fraction = load ? ParseLoad(*load) : std::nullopt;
  mService.Dependencies().mCrashes.OnRunning(*upstream);
  balancing::VisitPool(mService.Upstreams().Pool(), [&](auto& aPool) {
    aPool.OnFirstByte(now, aAttempt.Id());
    if (fraction) {
      aPool.OnLoadReport(now, *upstream, base::Duration::zero(), *fraction);
    }
    if (headers.Find("upstream-state") == "leaving") {
      aPool.OnLeavingSignal(now, *upstream);
    }
  });
}

void RequestForwarder::OnAttemptHead(UpstreamAttempt& aAttempt)
{
  const auto self = shared_from_this();
  aAttempt.RecordProgress(mService.Context().mLoop.Now());
  ReportUpstreamSignals(aAttempt);
  if (IsNotStarted(aAttempt.Head())) {
    return; // another attempt may follow
  }
  if (IsStreamed() && aAttempt.Head().mStatus < 500) {
    CommitTo(aAttempt);
  }
}

void RequestForwarder::CommitTo(UpstreamAttempt& aAttempt)
{
  mCommittedAttempt = &aAttempt;
  CancelAttempts(&aAttempt);
  if (!mIsAnswered) {
    mExchange->SendHead(RelayedHead(aAttempt.Head(), base::WorkOutcome::Run));
    mExchange->SendBody(aAttempt.Body());
  }
  aAttempt.Body().clear();
}

void RequestForwarder::OnAttemptBody(UpstreamAttempt& aAttempt,
                                     std::string_view aPart)
{
  const auto self = shared_from_this();
  aAttempt.RecordProgress(mService.Context().mLoop.Now());
  if (mCommittedAttempt == &aAttempt) {
    if (!mIsAnswered) {
      mExchange->SendBody(aPart);
      if (mExchange->PendingBytes().Count() > kMaxRelayBytes) {
        aAttempt.Exchange()->PauseReading(true);
      }
    }
    return;
  }
  if (IsNotStarted(aAttempt.Head())) {
    aAttempt.Body() += aPart;
    if (aAttempt.Body().size() > kMaxRejectionBodyBytes) {
      const auto keep = aAttempt.shared_from_this();
      aAttempt.Cancel();
      Fail(aAttempt, base::FailureKind::NotStarted, false);
    }
    return;
  }
  const bool fitsBuffer =
    aAttempt.Body().size() + aPart.size() <= kMaxBufferedResponseBytes;
  const bool isError = aAttempt.Head().mStatus >= 500;
  if (fitsBuffer || !isError) {
    aAttempt.Body() += aPart;
  }
  if (!fitsBuffer && !isError) {
    CommitTo(aAttempt);
  }
}

void RequestForwarder::OnAttemptWritable(UpstreamAttempt& aAttempt)
{
  aAttempt.RecordProgress(mService.Context().mLoop.Now());
  if (IsStreamed() && !mIsAnswered) {
    mExchange->PauseReading(false);
  }
}

void RequestForwarder::OnAttemptEnd(UpstreamAttempt& aAttempt)
{
  const auto self = shared_from_this();
  const auto keep = aAttempt.shared_from_this();
  if (IsNotStarted(aAttempt.Head())) {
    Fail(aAttempt, base::FailureKind::NotStarted, false);
  } else if (aAttempt.Head().mStatus >= 500) {
    mErrorHead = aAttempt.Head();
    mErrorBody = aAttempt.Body();
    Fail(aAttempt, base::FailureKind::ServerError, true);
  } else {
    Succeed(aAttempt);
  }
}

void RequestForwarder::OnAttemptFailure(UpstreamAttempt& aAttempt,
                                        const http::Failure& aFailure)
{
  const auto self = shared_from_this();
  const auto keep = aAttempt.shared_from_this();
  const auto* upstream = std::get_if<base::UpstreamId>(&aAttempt.Target());
  if (upstream != nullptr &&
      aFailure.mKind == http::FailureKind::ConnectRefused) {
    mService.Dependencies().mCrashes.OnConnectRefused(*upstream);
  }
  Fail(aAttempt, ToFailureKind(aFailure.mKind), aFailure.mMayHaveReached);
}

void RequestForwarder::Succeed(UpstreamAttempt& aAttempt)
{
  const DaemonContext& context = mService.Context();
  const base::TimePoint now = context.mLoop.Now();
  const base::Duration latency = now - aAttempt.StartTime();
  if (const auto* it = std::get_if<base::UpstreamId>(&aAttempt.Target())) {
    balancing::VisitPool(mService.Upstreams().Pool(), [&](auto& aPool) {
      aPool.OnSuccess(now, context.mRandom, aAttempt.Id(), latency);
    });
    if (!IsStreamed()) {
      mService.Upstreams().OnLatency(*it, latency, mService.HasQueued());
    }
    mService.Admission().OnServed(mPlan.mClass, latency);
    mService.Hedge().OnLatency(mPlan.mClass, now - mFirstDispatch);
  }
  mHasSucceeded = true;
  mService.Dependencies().mCrashes.OnSuccess(mFingerprint);
  if (mClaim) {
    RecordOutcome(aAttempt.Head(), aAttempt.Body(),
                  mCommittedAttempt == &aAttempt);
  }
  if (mCommittedAttempt == &aAttempt) {
    if (!mIsAnswered && !mExchange->IsClosed()) {
      mExchange->Finish();
    }
  } else {
    RelayResponse(aAttempt.Head(), aAttempt.Body(), base::WorkOutcome::Run);
  }
  EndAttempt(aAttempt, "ok");
  CancelAttempts(nullptr);
  Finish("ok");
}

void RequestForwarder::ReportFailure(const UpstreamAttempt& aAttempt,
                                     base::FailureKind aKind)
{
  const DaemonContext& context = mService.Context();
  const auto* upstream = std::get_if<base::UpstreamId>(&aAttempt.Target());
  if (upstream == nullptr) {
    return;
  }
  const base::TimePoint now = context.mLoop.Now();
  balancing::VisitPool(mService.Upstreams().Pool(), [&](auto& aPool) {
    aPool.OnFailure(now, context.mRandom, aAttempt.Id(), aKind);
  });
  if (aKind == base::FailureKind::NotStarted) {
    mService.Upstreams().OnShed(*upstream);
  }
}

void RequestForwarder::Fail(UpstreamAttempt& aAttempt, base::FailureKind aKind,
                            bool aMayHaveReached)
{
  const auto keep = aAttempt.shared_from_this();
  ReportFailure(aAttempt, aKind);
  const auto* upstream = std::get_if<base::UpstreamId>(&aAttempt.Target());
  const bool isCrash = aKind == base::FailureKind::Reset && aMayHaveReached &&
                       !aAttempt.HasHead() && upstream != nullptr;
  if (isCrash) {
    mService.Dependencies().mCrashes.OnCrash(
      mFingerprint,
      { *upstream, aAttempt.StartTime(), mService.Context().mLoop.Now() });
  }
  const bool wasCommitted = mCommittedAttempt == &aAttempt;
  EndAttempt(aAttempt, FailureText(aKind),
             aKind == base::FailureKind::NotStarted ? TicketEnd::Refused
                                                    : TicketEnd::Served);
  if (wasCommitted) {
    mExchange->Abort();
    Finish("truncated");
    return;
  }
  DecideAfterFailure(aKind, aMayHaveReached);
}

void RequestForwarder::DecideAfterFailure(base::FailureKind aKind,
                                          bool aMayHaveReached)
{
  const base::TimePoint now = mService.Context().mLoop.Now();
  retries::FailedAttempt failed;
  failed.mKind = aKind;
  failed.mWork = mPlan.mKind;
  failed.mBytesMayHaveArrived = aMayHaveReached;
  failed.mOtherMayHaveRun = mMayHaveRun;
  failed.mQuarantined =
    mService.Dependencies().mCrashes.IsRefused(mFingerprint);
  failed.mForwarded = mPlan.mGrant.has_value();
  failed.mAttempts = mAttemptCount;
  failed.mRemaining = mPlan.mDeadline - now;
  mMayHaveRun = mMayHaveRun || !retries::AttemptPolicy::DidNotRun(failed);
  if (!mAttempts.empty()) {
    return; // a hedge is still running
  }
  const bool isBodyGone = IsStreamed() && mBodyStreamed > 0;
  const auto decision =
    retries::AttemptPolicy::Decide(now, failed, mService.Budget());
  const auto* giveUp = std::get_if<retries::GiveUp>(&decision);
  if (giveUp == nullptr && !isBodyGone && !mIsAnswered) {
    mService.Context().mMetrics.Count("auburnmux_retries_total",
                                      { { "service", mPlan.mService.Text() } });
    DispatchOrQueue();
    return;
  }
  GiveUp(giveUp != nullptr ? giveUp->mOutcome
                           : retries::AttemptPolicy::Outcome(failed),
         aKind);
}

void RequestForwarder::GiveUp(base::WorkOutcome aOutcome,
                              base::FailureKind aKind)
{
  if (mErrorHead && aOutcome == base::WorkOutcome::Run && mClaim) {
    RecordOutcome(*mErrorHead, mErrorBody, false);
  }
  if (mErrorHead && aKind == base::FailureKind::ServerError) {
    SettleClaim(aOutcome);
    RelayResponse(*mErrorHead, mErrorBody, aOutcome);
    Finish("server_error");
    return;
  }
  const int status = aOutcome == base::WorkOutcome::NotRun ? 503 : 502;
  Refuse({ status, aOutcome,
           std::string("no upstream answered: ") + FailureText(aKind),
           kRetryAfter });
}

} // namespace auburnmux::daemon
