#include "daemon/src/RequestForwarder.h"

#include "daemon/src/ServiceRuntime.h"

#include <algorithm>
#include <utility>

namespace auburnmux::daemon {

namespace {

// A dispatched non-idempotent request runs on for this long after its deadline
// so that its outcome can be recorded.
constexpr base::Duration kOutcomeGracePeriod = std::chrono::seconds(60);

constexpr std::chrono::seconds kQuarantineRetryAfter{ 600 };

/** Assumed round-trip time to an upstream; deducted from the deadline that is
 * forwarded. */
constexpr base::Duration kAssumedUpstreamRoundTrip =
  std::chrono::milliseconds(1);

} // namespace

RequestForwarder::RequestForwarder(
  ServiceRuntime& aService, limits::QueuedId aId,
  std::shared_ptr<http::ServerExchange> aExchange, RequestPlan aPlan)
  : mService(aService)
  , mId(aId)
  , mExchange(std::move(aExchange))
  , mPlan(std::move(aPlan))
{
}

void RequestForwarder::Start()
{
  if (IsStreamed()) {
    // The body is not read from the caller until an attempt starts.
    mExchange->PauseReading(true);
    Admit();
  }
}

void RequestForwarder::OnRequestBody(std::string_view aPart)
{
  if (mIsFinished || mIsAnswered) {
    return;
  }
  if (!IsStreamed() || mAttempts.empty()) {
    mBody += aPart;
    if (IsStreamed()) {
      mExchange->PauseReading(true); // until the next attempt starts
    }
    return;
  }
  UpstreamAttempt& attempt = *mAttempts.front();
  attempt.RecordProgress(mService.Context().mLoop.Now());
  mBodyStreamed += aPart.size();
  attempt.Exchange()->SendBody(aPart);
  if (attempt.Exchange()->PendingBytes().Count() > kMaxRelayBytes) {
    mExchange->PauseReading(true);
  }
}

void RequestForwarder::OnRequestEnd()
{
  if (!IsStreamed() && !mIsFinished) {
    Admit();
  }
}

void RequestForwarder::Admit()
{
  const auto self = shared_from_this();
  const base::TimePoint now = mService.Context().mLoop.Now();
  mFingerprint = retries::MakeFingerprint(
    mPlan.mService, mExchange->Head().mMethod, mPlan.mTarget,
    mPlan.mKey ? mPlan.mKey->Text() : mBody);
  if (mService.Dependencies().mCrashes.IsRefused(mFingerprint)) {
    Refuse({ 503, base::WorkOutcome::NotRun,
             "this request crashed upstreams and is refused for a while",
             kQuarantineRetryAfter });
    return;
  }
  if (!AdmitByGrant()) {
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
    shed != nullptr && mService.Context().mFeatures.mBalancing;
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
  if (IsNonIdempotent()) {
    Claim();
  } else {
    DispatchOrQueue();
  }
}

bool RequestForwarder::AdmitByGrant()
{
  SpillInterface& spill = mService.Dependencies().mSpill;
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

void RequestForwarder::Claim()
{
  const auto hash = idempotency::HashRequest(
    { mPlan.mService.Text(), mExchange->Head().mMethod, mPlan.mTarget, mBody });
  mClaim =
    mService.Dependencies().mClaims.Start(*mPlan.mKey, hash, weak_from_this());
}

void RequestForwarder::OnClaimGranted()
{
  mIsClaimGranted = true;
  if (mIsFinished) {
    SettleClaim(base::WorkOutcome::NotRun);
    return;
  }
  AddSpan("claim", mPlan.mArrival, "", "granted");
  DispatchOrQueue();
}

void RequestForwarder::OnClaimNotRun(idempotency::NotRunReason aReason)
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

void RequestForwarder::OnClaimNotKnown()
{
  if (!mIsFinished) {
    Refuse({ 409, base::WorkOutcome::NotKnown,
             "a request with this idempotency key has no known outcome",
             kRetryAfter });
  }
}

void RequestForwarder::OnClaimRan(const idempotency::Outcome& aOutcome)
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

limits::QueueEntry RequestForwarder::MakeQueueEntry() const
{
  return { mId,
           mPlan.mClass,
           mPlan.mCaller,
           mPlan.mArrival,
           mPlan.mDeadline,
           base::ByteCount(mBody.size()) };
}

void RequestForwarder::DispatchOrQueue()
{
  const auto self = shared_from_this();
  switch (TryDispatch()) {
    case DispatchResult::Started:
      return;
    case DispatchResult::Busy:
      mIsQueued = true;
      mQueuedSince = mService.Context().mLoop.Now();
      mService.Enqueue(*this);
      return;
    case DispatchResult::NoneUsable:
      if (!TrySpill()) {
        GiveUp(mMayHaveRun ? base::WorkOutcome::NotKnown
                           : base::WorkOutcome::NotRun,
               base::FailureKind::Refused);
      }
      return;
  }
}

bool RequestForwarder::OnDequeued()
{
  const auto self = shared_from_this();
  mIsQueued = false;
  AddSpan("queue", mQueuedSince, "", "dequeued");
  const DispatchResult result = TryDispatch();
  if (result == DispatchResult::Busy) {
    mIsQueued = true;
    mService.Enqueue(*this);
    return false;
  }
  if (result == DispatchResult::NoneUsable && !TrySpill()) {
    GiveUp(mMayHaveRun ? base::WorkOutcome::NotKnown
                       : base::WorkOutcome::NotRun,
           base::FailureKind::Refused);
  }
  return true;
}

void RequestForwarder::OnRemovedFromQueue(const Refusal& aRefusal)
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

bool RequestForwarder::TrySpillQueued()
{
  const auto self = shared_from_this();
  if (!mIsQueued || !TrySpill()) {
    return false;
  }
  mIsQueued = false;
  mService.RemoveFromQueue(mId);
  return true;
}

RequestForwarder::DispatchResult RequestForwarder::TryDispatch()
{
  const DaemonContext& context = mService.Context();
  const balancing::PickRequest request{ mPlan.mClass, mPlan.mKind,
                                        mTriedUpstreams };
  const auto result = balancing::Pick(
    mService.Upstreams().Pool(), context.mLoop.Now(), context.mRandom, request);
  if (std::holds_alternative<balancing::NoneUsable>(result)) {
    return DispatchResult::NoneUsable;
  }
  const auto* choice = std::get_if<balancing::Choice>(&result);
  if (choice == nullptr) {
    return DispatchResult::Busy;
  }
  StartUpstreamAttempt(choice->mUpstream);
  return DispatchResult::Started;
}

bool RequestForwarder::TrySpill()
{
  // A request that was admitted against a grant is not forwarded again. A
  // request whose key this host claimed is dispatched by this host only,
  // because the receiving host would have to claim the same key.
  if (IsAdmittedByGrant() || mClaim || mIsFinished || mMayHaveRun) {
    return false;
  }
  const auto ticket = mService.Dependencies().mSpill.TakeTicket(mPlan.mService);
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

void RequestForwarder::StartUpstreamAttempt(const base::UpstreamId& aUpstream)
{
  const base::TimePoint now = mService.Context().mLoop.Now();
  const http::Endpoint* endpoint = mService.Upstreams().Find(aUpstream);
  const base::AttemptId id = mService.NextAttemptId();
  balancing::VisitPool(mService.Upstreams().Pool(), [&](auto& aPool) {
    aPool.OnStart(now, id, aUpstream, mPlan.mClass);
  });
  mTriedUpstreams.push_back(aUpstream);
  auto attempt =
    std::make_shared<UpstreamAttempt>(id, aUpstream, weak_from_this(), now);
  mAttempts.push_back(attempt);
  StartAttempt(aUpstream, *endpoint, mPlan.mTarget, ForwardedHeaders());
}

http::Headers RequestForwarder::ForwardedHeaders() const
{
  const DaemonContext& context = mService.Context();
  http::Headers headers = mExchange->Head().mHeaders;
  headers.Remove("auburnmux-grant");
  headers.Remove("auburnmux-origin");
  headers.Remove("expect");
  headers.Set("traceparent", mPlan.mTrace.ToHeader());
  const auto remaining =
    retries::HopDeadline::Default(mPlan.mDeadline, base::Duration::zero());
  const auto text =
    remaining.NextHop(context.mLoop.Now(), kAssumedUpstreamRoundTrip);
  headers.Set(retries::HopDeadline::kHeader, text.value_or("1"));
  const std::string& caller = mExchange->Head().mClientAddress;
  const auto earlier = headers.Find("x-forwarded-for");
  headers.Set("x-forwarded-for",
              earlier ? std::string(*earlier) + ", " + caller : caller);
  return headers;
}

void RequestForwarder::StartAttempt(const AttemptTarget& aTarget,
                                    const http::Endpoint& aEndpoint,
                                    std::string aTargetPath,
                                    http::Headers aHeaders)
{
  const DaemonContext& context = mService.Context();
  const base::TimePoint now = context.mLoop.Now();
  if (mAttemptCount++ == 0) {
    mFirstDispatch = now;
    const auto delay = mService.Hedge().Delay(mPlan.mClass);
    if (delay && context.mFeatures.mHedging && !IsNonIdempotent() &&
        !IsStreamed() && std::holds_alternative<base::UpstreamId>(aTarget)) {
      mHedgeAt = now + *delay;
    }
  }
  http::ClientRequest request;
  request.mEndpoint = aEndpoint;
  request.mMethod = mExchange->Head().mMethod;
  request.mTarget = std::move(aTargetPath);
  request.mHeaders = std::move(aHeaders);
  request.mContentLength = mExchange->Head().mContentLength;
  request.mNeedsFreshConnection = IsNonIdempotent();
  const std::shared_ptr<UpstreamAttempt> attempt = mAttempts.back();
  attempt->Start(context.mClient, request, &mBody);
  if (IsStreamed()) {
    mBodyStreamed = mBody.size();
    mBody.clear();
    mExchange->PauseReading(false);
  }
}

void RequestForwarder::OnTick(base::TimePoint aNow)
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

void RequestForwarder::MaybeHedge(base::TimePoint aNow)
{
  mHedgeAt.reset();
  retries::HedgeContext context;
  context.mClass = mPlan.mClass;
  context.mKind = mPlan.mKind;
  context.mAttempts = mAttemptCount;
  context.mForwarded = mPlan.mGrant.has_value();
  context.mSaturated = mService.HasQueued();
  context.mElapsed = aNow - mFirstDispatch;
  context.mRemaining = mPlan.mDeadline - aNow;
  if (mService.Hedge().ShouldHedge(aNow, context)) {
    mService.Context().mMetrics.Count("auburnmux_hedges_total",
                                      { { "service", mPlan.mService.Text() } });
    TryDispatch();
  }
}

bool RequestForwarder::CheckStalls(base::TimePoint aNow)
{
  if (IsNonIdempotent()) {
    return false; // it can't be sent again, so the response is awaited
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
      Cancel(*attempt);
      Fail(*attempt, base::FailureKind::Stalled, mayHaveReached);
      return true;
    }
  }
  return false;
}

void RequestForwarder::OnStraggler(base::AttemptId aAttempt)
{
  const auto self = shared_from_this();
  for (const auto& it : mAttempts) {
    if (it->Id() == aAttempt) {
      const auto attempt = it;
      const bool mayHaveReached = attempt->MayHaveReached();
      Cancel(*attempt);
      Fail(*attempt, base::FailureKind::Stalled, mayHaveReached);
      return;
    }
  }
}

void RequestForwarder::OnDeadline(base::TimePoint aNow)
{
  if (mIsAnswered) {
    if (aNow >= mPlan.mDeadline + kOutcomeGracePeriod) {
      SettleClaim(base::WorkOutcome::NotKnown);
      CancelAttempts(nullptr);
      Finish("outcome_not_known");
    }
    return;
  }
  if (mCommittedAttempt != nullptr) {
    return; // the response is being relayed; the stall timeout limits it
  }
  const Refusal refusal{ 504, OutcomeSoFar(), "the deadline passed",
                         std::nullopt };
  EndWithoutResponse(refusal);
}

void RequestForwarder::OnResponseDue()
{
  if (mIsFinished || mIsAnswered || mCommittedAttempt != nullptr) {
    return;
  }
  const auto self = shared_from_this();
  const base::WorkOutcome outcome = OutcomeSoFar();
  const bool hasNotRun = outcome == base::WorkOutcome::NotRun;
  EndWithoutResponse({ hasNotRun ? 503 : 502, outcome, "this host is stopping",
                       hasNotRun ? std::optional(kRetryAfter) : std::nullopt });
}

base::WorkOutcome RequestForwarder::OutcomeSoFar() const
{
  const bool mayHaveRun =
    mMayHaveRun ||
    std::any_of(mAttempts.begin(), mAttempts.end(),
                [](const auto& aIt) { return aIt->MayHaveReached(); });
  return mayHaveRun ? base::WorkOutcome::NotKnown : base::WorkOutcome::NotRun;
}

void RequestForwarder::EndWithoutResponse(const Refusal& aRefusal)
{
  const bool isRunning =
    aRefusal.mOutcome == base::WorkOutcome::NotKnown && !mAttempts.empty();
  if (IsNonIdempotent() && isRunning) {
    mIsAnswered = true; // the attempts run on so that the outcome is recorded
    SendRefusal(*mExchange, aRefusal);
    return;
  }
  Refuse(aRefusal);
}

void RequestForwarder::OnCallerWritable()
{
  if (mCommittedAttempt != nullptr &&
      mCommittedAttempt->Exchange() != nullptr) {
    mCommittedAttempt->Exchange()->PauseReading(false);
  }
}

void RequestForwarder::OnCallerGone()
{
  const auto self = shared_from_this();
  if (mIsFinished || mIsAnswered) {
    return;
  }
  if (IsNonIdempotent() && !mAttempts.empty()) {
    mIsAnswered = true; // the attempts run on so that the outcome is recorded
    return;
  }
  SettleClaim(mMayHaveRun ? base::WorkOutcome::NotKnown
                          : base::WorkOutcome::NotRun);
  CancelAttempts(nullptr);
  Finish("caller_gone");
}

} // namespace auburnmux::daemon
