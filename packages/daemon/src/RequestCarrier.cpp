#include "daemon/src/RequestCarrier.h"

#include "daemon/src/ServiceRuntime.h"

#include <algorithm>
#include <utility>

namespace auburnmux::daemon {

namespace {

// A response up to this size is relayed only once it is whole, so that a
// broken one can still be retried.
constexpr std::size_t kMaxHeldResponse = std::size_t{ 256 } * 1024;

// Bytes that wait on one side of a relay before the other side is paused.
constexpr std::size_t kMaxRelayBytes = std::size_t{ 256 } * 1024;

// A dispatched non-idempotent request is waited for this long after its
// deadline, so that its outcome can be recorded.
constexpr base::Duration kOutcomeWait = std::chrono::seconds(60);

constexpr std::chrono::seconds kRetryAfter{ 1 };
constexpr std::chrono::seconds kQuarantineRetryAfter{ 600 };

/** Time on the way to an upstream of the data centre and back. */
constexpr base::Duration kUpstreamRoundTrip = std::chrono::milliseconds(1);

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

bool IsNotStarted(const http::ResponseHead& aHead)
{
  return aHead.mStatus >= 400 &&
         aHead.mHeaders.Find("work-outcome") == "not-run";
}

/** \returns the load in [0, 1] of a header such as "4/9". */
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

RequestCarrier::RequestCarrier(ServiceRuntime& aService, limits::QueuedId aId,
                               std::shared_ptr<http::ServerExchange> aExchange,
                               RequestPlan aPlan)
  : mService(aService)
  , mId(aId)
  , mExchange(std::move(aExchange))
  , mPlan(std::move(aPlan))
{
}

void RequestCarrier::Start()
{
  if (IsStreamed()) {
    // The body stays at the caller until an upstream takes it.
    mExchange->PauseReading(true);
    Admit();
  }
}

void RequestCarrier::OnRequestBody(std::string_view aPart)
{
  if (mIsFinished || mIsAnswered) {
    return;
  }
  if (!IsStreamed() || mAttempts.empty()) {
    mBody += aPart;
    return;
  }
  UpstreamAttempt& attempt = *mAttempts.front();
  attempt.NoteProgress(mService.Context().mLoop.Now());
  mBodyStreamed += aPart.size();
  attempt.Exchange()->SendBody(aPart);
  if (attempt.Exchange()->PendingBytes().Count() > kMaxRelayBytes) {
    mExchange->PauseReading(true);
  }
}

void RequestCarrier::OnRequestEnd()
{
  if (!IsStreamed() && !mIsFinished) {
    Admit();
  }
}

void RequestCarrier::Admit()
{
  const auto self = shared_from_this();
  const base::TimePoint now = mService.Context().mLoop.Now();
  mFingerprint = retries::MakeFingerprint(
    mPlan.mService, mExchange->Head().mMethod, mPlan.mTarget,
    mPlan.mKey ? mPlan.mKey->Text() : mBody);
  if (mService.GetGates().mQuarantine.IsRefused(now, mFingerprint)) {
    Refuse({ 503, base::WorkOutcome::NotRun,
             "this request crashed upstreams and is refused for a while",
             kQuarantineRetryAfter });
    return;
  }
  if (!AdmitFromElsewhere()) {
    Refuse({ 503, base::WorkOutcome::NotRun,
             "the capacity for work of other data centres is used up",
             kRetryAfter });
    return;
  }
  mService.Budget().OnRequest(now);
  mService.Hedge().OnRequest(now);
  const limits::AdmissionLoad load = mService.Load(mPlan.mClass, now);
  const auto result =
    mService.Admission().Decide(mPlan.mClass, mPlan.mDeadline - now, load);
  const auto* shed = std::get_if<limits::Shed>(&result);
  const bool isShed =
    shed != nullptr && mService.Context().mMechanisms.mBalancing;
  const bool hasNoUpstream = load.mSlots == base::SlotCount(0);
  if ((isShed || hasNoUpstream) && TrySpill()) {
    return;
  }
  if (isShed) {
    Refuse({ 503, base::WorkOutcome::NotRun,
             "the deadline can't be met at the present load",
             shed->mRetryAfter });
    return;
  }
  AddSpan("admission", mPlan.mArrival, "", "admitted");
  if (IsOnce()) {
    Claim();
  } else {
    DispatchOrQueue();
  }
}

bool RequestCarrier::AdmitFromElsewhere()
{
  SpillGate& spill = mService.GetGates().mSpill;
  if (mPlan.mGrant) {
    if (!spill.Admit(mPlan.mService, mPlan.mOrigin, *mPlan.mGrant)) {
      return false;
    }
    mAdmittedSender = mPlan.mOrigin;
  } else if (mPlan.mForeignRegion) {
    if (!spill.AdmitForeign(mPlan.mService, *mPlan.mForeignRegion)) {
      return false;
    }
    mAdmittedSender = ForeignSender(*mPlan.mForeignRegion);
  }
  return true;
}

void RequestCarrier::Claim()
{
  const auto hash = idempotency::HashRequest(
    { mPlan.mService.Text(), mExchange->Head().mMethod, mPlan.mTarget, mBody });
  mClaim =
    mService.GetGates().mClaims.Start(*mPlan.mKey, hash, weak_from_this());
}

void RequestCarrier::OnClaimGranted()
{
  mIsGranted = true;
  if (mIsFinished) {
    SettleClaim(base::WorkOutcome::NotRun);
    return;
  }
  AddSpan("claim", mPlan.mArrival, "", "granted");
  DispatchOrQueue();
}

void RequestCarrier::OnClaimNotRun(idempotency::NotRunReason aReason)
{
  using idempotency::NotRunReason;
  if (mIsFinished) {
    return;
  }
  switch (aReason) {
    case NotRunReason::Mismatch:
      Refuse({ 422, base::WorkOutcome::NotRun,
               "the idempotency key was used with a different request",
               std::nullopt });
      return;
    case NotRunReason::FutureKey:
      Refuse({ 400, base::WorkOutcome::NotRun,
               "the time of the idempotency key is in the future",
               std::nullopt });
      return;
    case NotRunReason::Unavailable:
    case NotRunReason::Deadline:
    case NotRunReason::TooManyAttempts:
      Refuse({ 503, base::WorkOutcome::NotRun,
               "the idempotency key could not be recorded", kRetryAfter });
      return;
  }
}

void RequestCarrier::OnClaimNotKnown()
{
  if (!mIsFinished) {
    Refuse({ 409, base::WorkOutcome::NotKnown,
             "a request with this idempotency key has no known outcome",
             kRetryAfter });
  }
}

void RequestCarrier::OnClaimRan(const idempotency::Outcome& aOutcome)
{
  if (mIsFinished) {
    return;
  }
  http::ResponseHead head;
  head.mStatus = aOutcome.mStatus.Count();
  if (!aOutcome.mContentType.empty()) {
    head.mHeaders.Set("content-type", aOutcome.mContentType);
  }
  head.mHeaders.Set("idempotency-replayed", "true");
  if (aOutcome.mIsBodyOmitted) {
    head.mHeaders.Set("body-omitted", "true");
  }
  RelayResponse(head, aOutcome.mBody, base::WorkOutcome::Run);
  Finish("replayed");
}

limits::QueueEntry RequestCarrier::MakeQueueEntry() const
{
  return { mId,
           mPlan.mClass,
           mPlan.mCaller,
           mPlan.mArrival,
           mPlan.mDeadline,
           base::ByteCount(mBody.size()) };
}

void RequestCarrier::DispatchOrQueue()
{
  const auto self = shared_from_this();
  switch (TryDispatch()) {
    case Dispatched::Started:
      return;
    case Dispatched::Busy:
      mIsQueued = true;
      mQueuedSince = mService.Context().mLoop.Now();
      mService.Enqueue(*this);
      return;
    case Dispatched::NoneUsable:
      if (!TrySpill()) {
        GiveUp(mMayHaveRun ? base::WorkOutcome::NotKnown
                           : base::WorkOutcome::NotRun,
               base::FailureKind::Refused);
      }
      return;
  }
}

bool RequestCarrier::OnDequeued()
{
  const auto self = shared_from_this();
  mIsQueued = false;
  AddSpan("queue", mQueuedSince, "", "dequeued");
  const Dispatched result = TryDispatch();
  if (result == Dispatched::Busy) {
    mIsQueued = true;
    mService.Enqueue(*this);
    return false;
  }
  if (result == Dispatched::NoneUsable && !TrySpill()) {
    GiveUp(mMayHaveRun ? base::WorkOutcome::NotKnown
                       : base::WorkOutcome::NotRun,
           base::FailureKind::Refused);
  }
  return true;
}

void RequestCarrier::OnRemovedFromQueue(const Refusal& aRefusal)
{
  const auto self = shared_from_this();
  mIsQueued = false;
  Refusal refusal = aRefusal;
  if (mMayHaveRun) {
    refusal.mOutcome = base::WorkOutcome::NotKnown;
  }
  const bool maySpill = !mIsFinished && !mMayHaveRun &&
                        mService.Context().mLoop.Now() < mPlan.mDeadline &&
                        TrySpill();
  if (!maySpill) {
    Refuse(refusal);
  }
}

bool RequestCarrier::TryMove()
{
  const auto self = shared_from_this();
  if (!mIsQueued || !TrySpill()) {
    return false;
  }
  mIsQueued = false;
  mService.RemoveFromQueue(mId);
  return true;
}

RequestCarrier::Dispatched RequestCarrier::TryDispatch()
{
  const Shared& shared = mService.Context();
  const balancing::PickRequest request{ mPlan.mClass, mPlan.mKind, mTried };
  const auto result = balancing::Pick(
    mService.Upstreams().Pool(), shared.mLoop.Now(), shared.mRandom, request);
  if (std::holds_alternative<balancing::NoneUsable>(result)) {
    return Dispatched::NoneUsable;
  }
  const auto* choice = std::get_if<balancing::Choice>(&result);
  if (choice == nullptr) {
    return Dispatched::Busy;
  }
  StartUpstreamAttempt(choice->mUpstream);
  return Dispatched::Started;
}

bool RequestCarrier::TrySpill()
{
  // A request that another host forwarded is not forwarded again, and one
  // with a claim of its own is dispatched by this host only: the receiving
  // host would have to claim the same key.
  if (IsFromElsewhere() || mClaim || mIsFinished || mMayHaveRun) {
    return false;
  }
  const auto ticket = mService.GetGates().mSpill.Take(mPlan.mService);
  if (!ticket) {
    return false;
  }
  http::Headers headers = ForwardedHeaders();
  headers.Set("auburnmux-grant", std::to_string(ticket->mToken));
  headers.Set("auburnmux-origin", mService.Context().mSettings.mHost.Text());
  const std::string target = '/' + mPlan.mService.Text() + mPlan.mTarget;
  const base::AttemptId id = mService.NextAttemptId();
  mTickets.emplace(id, *ticket);
  auto attempt = std::make_shared<UpstreamAttempt>(
    id, HostTarget{ ticket->mHost }, weak_from_this(),
    mService.Context().mLoop.Now());
  mAttempts.push_back(attempt);
  StartAttempt(HostTarget{ ticket->mHost }, ticket->mEndpoint, target,
               std::move(headers));
  return true;
}

void RequestCarrier::StartUpstreamAttempt(const base::UpstreamId& aUpstream)
{
  const base::TimePoint now = mService.Context().mLoop.Now();
  const http::Endpoint* endpoint = mService.Upstreams().Find(aUpstream);
  const base::AttemptId id = mService.NextAttemptId();
  balancing::With(mService.Upstreams().Pool(), [&](auto& aPool) {
    aPool.OnStart(now, id, aUpstream, mPlan.mClass);
  });
  mTried.push_back(aUpstream);
  auto attempt =
    std::make_shared<UpstreamAttempt>(id, aUpstream, weak_from_this(), now);
  mAttempts.push_back(attempt);
  StartAttempt(aUpstream, *endpoint, mPlan.mTarget, ForwardedHeaders());
}

http::Headers RequestCarrier::ForwardedHeaders() const
{
  const Shared& shared = mService.Context();
  http::Headers headers = mExchange->Head().mHeaders;
  headers.Remove("auburnmux-grant");
  headers.Remove("auburnmux-origin");
  headers.Remove("expect");
  headers.Set("traceparent", mPlan.mTrace.ToHeader());
  const auto remaining =
    retries::HopDeadline::Default(mPlan.mDeadline, base::Duration::zero());
  const auto text = remaining.NextHop(shared.mLoop.Now(), kUpstreamRoundTrip);
  headers.Set(retries::HopDeadline::kHeader, text.value_or("1"));
  const std::string& caller = mExchange->Head().mClientAddress;
  const auto earlier = headers.Find("x-forwarded-for");
  headers.Set("x-forwarded-for",
              earlier ? std::string(*earlier) + ", " + caller : caller);
  return headers;
}

void RequestCarrier::StartAttempt(const AttemptTarget& aTarget,
                                  const http::Endpoint& aEndpoint,
                                  std::string aTargetPath,
                                  http::Headers aHeaders)
{
  const Shared& shared = mService.Context();
  const base::TimePoint now = shared.mLoop.Now();
  if (mAttemptCount++ == 0) {
    mFirstDispatch = now;
    const auto delay = mService.Hedge().Delay(mPlan.mClass);
    if (delay && shared.mMechanisms.mHedging && !IsOnce() && !IsStreamed() &&
        std::holds_alternative<base::UpstreamId>(aTarget)) {
      mHedgeAt = now + *delay;
    }
  }
  http::ClientRequest request;
  request.mEndpoint = aEndpoint;
  request.mMethod = mExchange->Head().mMethod;
  request.mTarget = std::move(aTargetPath);
  request.mHeaders = std::move(aHeaders);
  request.mContentLength = mExchange->Head().mContentLength;
  request.mNeedsFreshConnection = IsOnce();
  const std::shared_ptr<UpstreamAttempt> attempt = mAttempts.back();
  attempt->Start(shared.mClient, request, &mBody);
  if (IsStreamed()) {
    mBodyStreamed = mBody.size();
    mBody.clear();
    mExchange->PauseReading(false);
  }
}

void RequestCarrier::OnTick(base::TimePoint aNow)
{
  const auto self = shared_from_this();
  if (mIsFinished || CheckStalls(aNow)) {
    return;
  }
  if (aNow >= mPlan.mDeadline) {
    OnDeadline(aNow);
    return;
  }
  if (mHedgeAt && aNow >= *mHedgeAt && mAttempts.size() == 1 &&
      !mAttempts.front()->HasHead()) {
    MaybeHedge(aNow);
  }
}

void RequestCarrier::MaybeHedge(base::TimePoint aNow)
{
  mHedgeAt.reset();
  retries::HedgeContext context;
  context.mClass = mPlan.mClass;
  context.mKind = mPlan.mKind;
  context.mAttempts = mAttemptCount;
  context.mForwarded = mPlan.mGrant.has_value();
  context.mSaturated = mService.HasWaiting();
  context.mElapsed = aNow - mFirstDispatch;
  context.mRemaining = mPlan.mDeadline - aNow;
  if (mService.Hedge().ShouldHedge(aNow, context)) {
    mService.Context().mMetrics.Count("auburnmux_hedges_total",
                                      { { "service", mPlan.mService.Text() } });
    TryDispatch();
  }
}

bool RequestCarrier::CheckStalls(base::TimePoint aNow)
{
  if (IsOnce()) {
    return false; // it can't be sent again, so it is waited for
  }
  const retries::StallPolicy policy(mService.File().mStall);
  for (const auto& it : mAttempts) {
    retries::ConnectionActivity activity;
    activity.mInFlight = true;
    activity.mLastProgress = it->LastProgress();
    if (std::holds_alternative<retries::RetireConnection>(
          policy.Decide(aNow, activity))) {
      const bool mayHaveReached = it->MayHaveReached();
      const auto attempt = it;
      attempt->Cancel();
      Fail(*attempt, base::FailureKind::Stalled, mayHaveReached);
      return true;
    }
  }
  return false;
}

void RequestCarrier::OnStraggler(base::AttemptId aAttempt)
{
  const auto self = shared_from_this();
  for (const auto& it : mAttempts) {
    if (it->Id() == aAttempt) {
      const auto attempt = it;
      const bool mayHaveReached = attempt->MayHaveReached();
      attempt->Cancel();
      Fail(*attempt, base::FailureKind::Stalled, mayHaveReached);
      return;
    }
  }
}

void RequestCarrier::OnDeadline(base::TimePoint aNow)
{
  if (mIsAnswered) {
    if (aNow >= mPlan.mDeadline + kOutcomeWait) {
      SettleClaim(base::WorkOutcome::NotKnown);
      CancelAttempts(nullptr);
      Finish("outcome_not_known");
    }
    return;
  }
  if (mCommitted != nullptr) {
    return; // the answer is on its way; the stall timeout bounds it
  }
  const bool hasRunning =
    mMayHaveRun ||
    std::any_of(mAttempts.begin(), mAttempts.end(),
                [](const auto& aIt) { return aIt->MayHaveReached(); });
  Refusal refusal{ 504,
                   hasRunning ? base::WorkOutcome::NotKnown
                              : base::WorkOutcome::NotRun,
                   "the deadline passed", std::nullopt };
  if (IsOnce() && hasRunning && !mAttempts.empty()) {
    mIsAnswered = true;
    SendRefusal(*mExchange, refusal);
    return;
  }
  Refuse(refusal);
}

void RequestCarrier::OnCallerWritable()
{
  if (mCommitted != nullptr && mCommitted->Exchange() != nullptr) {
    mCommitted->Exchange()->PauseReading(false);
  }
}

void RequestCarrier::OnCallerGone()
{
  const auto self = shared_from_this();
  if (mIsFinished || mIsAnswered) {
    return;
  }
  if (IsOnce() && !mAttempts.empty()) {
    mIsAnswered = true; // the outcome is still to be recorded
    return;
  }
  SettleClaim(mMayHaveRun ? base::WorkOutcome::NotKnown
                          : base::WorkOutcome::NotRun);
  CancelAttempts(nullptr);
  Finish("caller_gone");
}

void RequestCarrier::NoteSigns(const UpstreamAttempt& aAttempt)
{
  const auto* upstream = std::get_if<base::UpstreamId>(&aAttempt.Target());
  if (upstream == nullptr) {
    return;
  }
  const base::TimePoint now = mService.Context().mLoop.Now();
  const http::Headers& headers = aAttempt.Head().mHeaders;
  const auto load = headers.Find("upstream-load");
  const auto fraction = load ? ParseLoad(*load) : std::nullopt;
  balancing::With(mService.Upstreams().Pool(), [&](auto& aPool) {
    aPool.OnFirstByte(now, aAttempt.Id());
    if (fraction) {
      aPool.OnLoadReport(now, *upstream, base::Duration::zero(), *fraction);
    }
    if (headers.Find("upstream-state") == "leaving") {
      aPool.OnLeavingSign(now, *upstream);
    }
  });
}

void RequestCarrier::OnAttemptHead(UpstreamAttempt& aAttempt)
{
  const auto self = shared_from_this();
  aAttempt.NoteProgress(mService.Context().mLoop.Now());
  NoteSigns(aAttempt);
  if (IsStreamed() && aAttempt.Head().mStatus < 500) {
    Commit(aAttempt);
  }
}

void RequestCarrier::Commit(UpstreamAttempt& aAttempt)
{
  mCommitted = &aAttempt;
  CancelAttempts(&aAttempt);
  if (!mIsAnswered) {
    mExchange->SendHead(RelayedHead(aAttempt.Head(), base::WorkOutcome::Run));
    mExchange->SendBody(aAttempt.Body());
  }
  aAttempt.Body().clear();
}

void RequestCarrier::OnAttemptBody(UpstreamAttempt& aAttempt,
                                   std::string_view aPart)
{
  const auto self = shared_from_this();
  aAttempt.NoteProgress(mService.Context().mLoop.Now());
  if (mCommitted == &aAttempt) {
    if (!mIsAnswered) {
      mExchange->SendBody(aPart);
      if (mExchange->PendingBytes().Count() > kMaxRelayBytes) {
        aAttempt.Exchange()->PauseReading(true);
      }
    }
    return;
  }
  const bool isHeld = aAttempt.Body().size() + aPart.size() <= kMaxHeldResponse;
  const bool isError = aAttempt.Head().mStatus >= 500;
  if (isHeld || !isError) {
    aAttempt.Body() += aPart;
  }
  if (!isHeld && !isError) {
    Commit(aAttempt);
  }
}

void RequestCarrier::OnAttemptWritable(UpstreamAttempt& aAttempt)
{
  aAttempt.NoteProgress(mService.Context().mLoop.Now());
  if (IsStreamed() && !mIsAnswered) {
    mExchange->PauseReading(false);
  }
}

void RequestCarrier::OnAttemptEnd(UpstreamAttempt& aAttempt)
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

void RequestCarrier::OnAttemptFailure(UpstreamAttempt& aAttempt,
                                      const http::Failure& aFailure)
{
  const auto self = shared_from_this();
  const auto keep = aAttempt.shared_from_this();
  Fail(aAttempt, ToFailureKind(aFailure.mKind), aFailure.mMayHaveReached);
}

void RequestCarrier::Succeed(UpstreamAttempt& aAttempt)
{
  const Shared& shared = mService.Context();
  const base::TimePoint now = shared.mLoop.Now();
  const base::Duration latency = now - aAttempt.StartTime();
  if (const auto* it = std::get_if<base::UpstreamId>(&aAttempt.Target())) {
    balancing::With(mService.Upstreams().Pool(), [&](auto& aPool) {
      aPool.OnSuccess(now, shared.mRandom, aAttempt.Id(), latency);
    });
    if (!IsStreamed()) {
      mService.Upstreams().OnLatency(*it, latency, mService.HasWaiting());
    }
    mService.Admission().OnServed(mPlan.mClass, latency);
    mService.Hedge().OnLatency(mPlan.mClass, now - mFirstDispatch);
  }
  mService.GetGates().mQuarantine.OnSuccess(now, mFingerprint);
  if (mClaim) {
    RecordOutcome(aAttempt.Head(), aAttempt.Body(), mCommitted == &aAttempt);
  }
  if (mCommitted == &aAttempt) {
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

void RequestCarrier::ReportFailure(const UpstreamAttempt& aAttempt,
                                   base::FailureKind aKind)
{
  const Shared& shared = mService.Context();
  const auto* upstream = std::get_if<base::UpstreamId>(&aAttempt.Target());
  if (upstream == nullptr) {
    return;
  }
  const base::TimePoint now = shared.mLoop.Now();
  balancing::With(mService.Upstreams().Pool(), [&](auto& aPool) {
    aPool.OnFailure(now, shared.mRandom, aAttempt.Id(), aKind);
  });
  if (aKind == base::FailureKind::NotStarted) {
    mService.Upstreams().OnShed(*upstream);
  }
}

void RequestCarrier::Fail(UpstreamAttempt& aAttempt, base::FailureKind aKind,
                          bool aMayHaveReached)
{
  const auto keep = aAttempt.shared_from_this();
  ReportFailure(aAttempt, aKind);
  const auto* upstream = std::get_if<base::UpstreamId>(&aAttempt.Target());
  const bool isCrash = aKind == base::FailureKind::Reset && aMayHaveReached &&
                       !aAttempt.HasHead() && upstream != nullptr;
  if (isCrash) {
    const auto record = mService.GetGates().mQuarantine.OnCrash(
      mService.Context().mLoop.Now(), mFingerprint, *upstream);
    if (record) {
      mService.GetGates().mReportCrash(mPlan.mService, *record);
    }
  }
  const bool wasCommitted = mCommitted == &aAttempt;
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

void RequestCarrier::DecideAfterFailure(base::FailureKind aKind,
                                        bool aMayHaveReached)
{
  const base::TimePoint now = mService.Context().mLoop.Now();
  retries::FailedAttempt failed;
  failed.mKind = aKind;
  failed.mWork = mPlan.mKind;
  failed.mBytesMayHaveArrived = aMayHaveReached;
  failed.mOtherMayHaveRun = mMayHaveRun;
  failed.mQuarantined =
    mService.GetGates().mQuarantine.IsRefused(now, mFingerprint);
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

void RequestCarrier::GiveUp(base::WorkOutcome aOutcome, base::FailureKind aKind)
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

void RequestCarrier::RecordOutcome(const http::ResponseHead& aHead,
                                   const std::string& aBody,
                                   bool aIsBodyOmitted)
{
  const auto type = aHead.mHeaders.Find("content-type");
  const idempotency::StatusCode status(
    static_cast<std::uint16_t>(aHead.mStatus));
  mService.GetGates().mClaims.OnOutcome(
    *mClaim,
    idempotency::Bounded(
      { status, aBody, std::string(type.value_or("")), aIsBodyOmitted }));
  mClaim.reset();
}

void RequestCarrier::SettleClaim(base::WorkOutcome aOutcome)
{
  if (!mClaim || !mIsGranted) {
    return;
  }
  if (aOutcome == base::WorkOutcome::NotRun) {
    mService.GetGates().mClaims.OnNotStarted(*mClaim);
  } else {
    mService.GetGates().mClaims.OnLost(*mClaim);
  }
  mClaim.reset();
}

void RequestCarrier::CancelAttempts(const UpstreamAttempt* aExcept)
{
  const Shared& shared = mService.Context();
  const auto attempts = mAttempts;
  for (const auto& it : attempts) {
    if (it.get() == aExcept) {
      continue;
    }
    it->Cancel();
    balancing::With(mService.Upstreams().Pool(), [&](auto& aPool) {
      aPool.OnCancel(shared.mLoop.Now(), shared.mRandom, it->Id());
    });
    EndAttempt(*it, "cancelled");
  }
}

void RequestCarrier::EndAttempt(UpstreamAttempt& aAttempt, const char* aResult,
                                TicketEnd aEnd)
{
  AddSpan("attempt", aAttempt.StartTime(), TargetText(aAttempt.Target()),
          aResult);
  const auto ticket = mTickets.find(aAttempt.Id());
  if (ticket != mTickets.end()) {
    mService.GetGates().mSpill.Return(mPlan.mService, ticket->second, aEnd);
    mTickets.erase(ticket);
  }
  if (mCommitted == &aAttempt) {
    mCommitted = nullptr;
  }
  const auto isSame = [&](const auto& aIt) { return aIt.get() == &aAttempt; };
  mAttempts.erase(std::remove_if(mAttempts.begin(), mAttempts.end(), isSame),
                  mAttempts.end());
}

http::ResponseHead RequestCarrier::RelayedHead(const http::ResponseHead& aHead,
                                               base::WorkOutcome aOutcome) const
{
  http::ResponseHead head = aHead;
  head.mHeaders.Remove("upstream-load");
  head.mHeaders.Remove("upstream-state");
  head.mHeaders.Set("work-outcome", OutcomeText(aOutcome));
  return head;
}

void RequestCarrier::RelayResponse(const http::ResponseHead& aHead,
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

void RequestCarrier::Refuse(const Refusal& aRefusal)
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

void RequestCarrier::Finish(const std::string& aResult)
{
  if (std::exchange(mIsFinished, true)) {
    return;
  }
  const auto self = shared_from_this();
  if (std::exchange(mIsQueued, false)) {
    mService.RemoveFromQueue(mId);
  }
  if (mAdmittedSender) {
    mService.GetGates().mSpill.OnAdmittedEnd(mPlan.mService, *mAdmittedSender);
  }
  const Shared& shared = mService.Context();
  const telemetry::Labels labels = { { "service", mPlan.mService.Text() },
                                     { "class",
                                       config::WorkClassName(mPlan.mClass) },
                                     { "result", aResult } };
  const base::TimePoint now = shared.mLoop.Now();
  shared.mMetrics.Count("auburnmux_requests_total", labels);
  shared.mMetrics.Observe("auburnmux_request_seconds", labels, now,
                          now - mPlan.mArrival);
  AddSpan("answer", mPlan.mArrival, "", aResult);
  mService.OnFinished(mId);
}

void RequestCarrier::AddSpan(const char* aName, base::TimePoint aStart,
                             const std::string& aTarget,
                             const std::string& aResult)
{
  const Shared& shared = mService.Context();
  telemetry::Span span;
  span.mContext = mPlan.mTrace;
  span.mParent = mPlan.mParentSpan;
  span.mName = aName;
  span.mService = mPlan.mService.Text();
  span.mTarget = aTarget;
  span.mStart = aStart;
  span.mDuration = shared.mLoop.Now() - aStart;
  span.mResult = aResult;
  shared.mSpans.Add(std::move(span));
}

} // namespace auburnmux::daemon
