#include "entry/src/Carrier.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace auburnmux::entry {

namespace {

using carriage::Reason;
using placing::Outcome;

/** Longest wait for a response when neither client nor route sets one. */
constexpr base::Duration kDefaultTime = std::chrono::seconds(60);

/** Bytes that may wait for a slow reader before the writer is paused. */
constexpr base::ByteCount kMaxPending{ std::uint64_t{ 256 } << 10U };

constexpr base::Duration kConnectTimeout = std::chrono::milliseconds(800);

constexpr int kFirstServerError = 500;

/** Wait that is proposed to clients of a host that stops: other hosts are
 * there at once. */
constexpr base::Duration kStoppingRetryAfter = std::chrono::milliseconds(50);

/** Wait that is proposed for a request that crashes upstreams, as long as it
 * is refused at least. */
constexpr base::Duration kQuarantineRetryAfter = std::chrono::minutes(10);

/** Part of the budget of repeats that stragglers may use; the rest is left for
 * requests that would fail. */
constexpr double kStragglerBudget = 0.5;

/** Pause before a straggler for which there is no room elsewhere is looked at
 * again. */
constexpr base::Duration kStragglerPause = std::chrono::milliseconds(50);

/** Time after which a reset is taken for an answer to the first bytes, at most:
 * a round trip between regions. */
constexpr base::Duration kResetRoundTrip = std::chrono::milliseconds(100);

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

/** Hands the events of the exchange to the carrier and keeps it alive. */
class CarrierLink final : public http::RequestObserver
{
public:
  explicit CarrierLink(std::shared_ptr<Carrier> aCarrier)
    : mCarrier(std::move(aCarrier))
  {
  }
  void OnBody(std::string_view aPart) override { mCarrier->OnBody(aPart); }
  void OnBodyEnd() override { mCarrier->OnBodyEnd(); }
  void OnWritable() override { mCarrier->OnWritable(); }
  void OnClosed(bool aIsComplete) override { mCarrier->OnClosed(aIsComplete); }

private:
  std::shared_ptr<Carrier> mCarrier;
};

} // namespace

struct Carrier::ActionVisitor
{
  Carrier& mCarrier;

  void operator()(const carriage::Seek& aAction) const
  {
    mCarrier.Seek(aAction.mIsRepeat);
  }
  void operator()(const carriage::Relay& /*aAction*/) const
  {
    mCarrier.Relay();
  }
  void operator()(const carriage::Refuse& aAction) const
  {
    mCarrier.Refuse(aAction.mReason, aAction.mRetryAfter);
  }
  void operator()(const carriage::Fail& aAction) const
  {
    mCarrier.SendFailure(aAction.mReason);
  }
  void operator()(const carriage::CancelAttempt& /*aAction*/) const
  {
    mCarrier.CancelAttempt();
  }
};

Carrier::Carrier(Services& aServices,
                 std::shared_ptr<http::ServerExchange> aExchange)
  : mServices(aServices)
  , mExchange(std::move(aExchange))
  , mFacts(aServices.mTranslator.ReadRequest(mExchange->Head()))
  , mArrived(aServices.mLoop.Now())
{
  ++mServices.mOpenRequests;
}

Carrier::~Carrier()
{
  --mServices.mOpenRequests;
  StopTimer();
  StopWatch();
}

void Carrier::Start()
{
  const http::RequestHead& head = mExchange->Head();
  mRoute = mServices.mRoutes.Find(
    head.mHeaders.Find("host").value_or(std::string_view()), head.mPath);
  mExchange->Observe(std::make_unique<CarrierLink>(shared_from_this()));
  if (mServices.mRoutes.IsEmpty()) {
    Refuse(Reason::NoConfiguration, std::chrono::milliseconds(500));
    return;
  }
  if (mServices.mIsClosing) {
    Refuse(Reason::Stopping, kStoppingRetryAfter);
    return;
  }
  if (!mRoute) {
    DenyUnknownRoute();
    return;
  }
  carriage::RequestTerms terms;
  terms.mMayRepeat = mRoute->mKind == routing::RequestKind::Idempotent;
  terms.mMaxAttempts = std::max(1U, mRoute->mMaxAttempts);
  mLife.emplace(terms);
  mPlaceRequest.mService = mServices.mSplits.Next(*mRoute);
  mServices.Budget(mPlaceRequest.mService).OnRequest(mArrived);
  mServices.mStragglers.OnRequest(mArrived);
  mOnTimeUntil = mArrived + mRoute->mLatencyTarget - TimeSpentBefore();
  StartTimer();
  if (mIsBodyComplete) {
    Execute(mLife->OnReadable());
  }
}

void Carrier::StartTimer()
{
  base::Duration limit = mFacts.mTimeLeft.value_or(kDefaultTime);
  if (mRoute->mTimeout) {
    limit = std::min(limit, *mRoute->mTimeout);
  }
  mAnswerBy = mArrived + limit;
  mTimer = mServices.mLoop.After(limit, [this] {
    mTimer.reset();
    const auto self = shared_from_this();
    EndAttempt(Outcome::TimedOut);
    Execute(mLife->OnTimeUp());
  });
}

base::Duration Carrier::TimeSpentBefore()
{
  if (!mFacts.mTimeLeft) {
    return {};
  }
  base::Duration& longest = mServices.mLongestTime[mRoute->mId];
  longest = std::max(longest, *mFacts.mTimeLeft);
  return longest - *mFacts.mTimeLeft;
}

void Carrier::StopTimer()
{
  if (mTimer) {
    mServices.mLoop.Cancel(*mTimer);
    mTimer.reset();
  }
}

base::Duration Carrier::TimeLeft() const
{
  return mAnswerBy - mServices.mLoop.Now();
}

void Carrier::Execute(const carriage::LifeActions& aActions)
{
  const auto self = shared_from_this();
  for (const carriage::LifeAction& it : aActions) {
    std::visit(ActionVisitor{ *this }, it);
  }
}

void Carrier::OnBody(std::string_view aPart)
{
  if (!mLife || mLife->IsEnded()) {
    return;
  }
  if (mIsBodyStreaming) {
    if (mAttempt) {
      mAttempt->Exchange().SendBody(aPart);
      mExchange->PauseReading(mAttempt->Exchange().PendingBytes() >
                              kMaxPending);
    }
    return;
  }
  mBody += aPart;
  if (mBody.size() > kMaxKeptBody) {
    mIsBodyStreaming = true;
    Execute(mLife->OnReadable());
  }
}

void Carrier::OnBodyEnd()
{
  mIsBodyComplete = true;
  if (!mLife || mLife->IsEnded()) {
    return;
  }
  if (mIsBodyStreaming) {
    if (mAttempt) {
      mAttempt->Exchange().EndBody();
    }
    return;
  }
  Execute(mLife->OnReadable());
}

void Carrier::Seek(bool aIsRepeat)
{
  const base::TimePoint now = mServices.mLoop.Now();
  if (mIsBodyStreaming && mLife->Attempts() > 0) {
    Execute(mLife->OnNoPlace(Reason::Rejected, mLife->RejectedRetryAfter()));
    return;
  }
  if (aIsRepeat && !mServices.Budget(mPlaceRequest.mService)
                      .TrySpend(now, mServices.mSharers)) {
    Execute(mLife->OnNoPlace(Reason::NoBudget, mLife->RejectedRetryAfter()));
    return;
  }
  mFingerprint = retries::MakeFingerprint(
    mPlaceRequest.mService, mExchange->Head().mMethod,
    mExchange->Head().mPath + '?' + mExchange->Head().mQuery, mBody);
  if (mServices.mCrashes.IsRefused(now, mFingerprint)) {
    Execute(mLife->OnNoPlace(Reason::Quarantined, kQuarantineRetryAfter));
    return;
  }
  mPlaceRequest.mKind =
    mRoute->mId.Text() + ' ' + mPlaceRequest.mService.Text();
  mPlaceRequest.mLatencyTarget = mRoute->mLatencyTarget;
  mPlaceRequest.mAllowedRegions = mRoute->mAllowedRegions;
  constexpr std::size_t kTypicalHeadAndResponse = 2000;
  mPlaceRequest.mBytes =
    base::ByteCount(mBody.size() + kTypicalHeadAndResponse);
  if (mRoute->mHasAffinity && mFacts.mObject) {
    mPlaceRequest.mObject = placing::ObjectHash(
      base::Hash64(*mFacts.mObject + ' ' + mPlaceRequest.mKind));
  }
  TryPlace();
}

void Carrier::TryPlace()
{
  const base::TimePoint now = mServices.mLoop.Now();
  mPlaceRequest.mTimeLeft = TimeLeft();
  const placing::PlaceDecision decision =
    mServices.mPlacement.Place(now, mPlaceRequest);
  mPlaceRequest.mIsPlacedBefore = true;
  if (const auto* wait = std::get_if<placing::Wait>(&decision)) {
    if (!mTicket) {
      mTicket = mServices.mDispatcher.Enter(
        mRoute->mRank.Count(), mArrived, mOnTimeUntil - wait->mService,
        [this, self = shared_from_this()] { TryPlace(); });
    }
    return;
  }
  LeaveQueue();
  if (const auto* place = std::get_if<placing::Placed>(&decision)) {
    mLife->OnPlaced();
    Send(*place);
  } else if (const auto* full = std::get_if<placing::NoRoom>(&decision)) {
    Execute(mLife->OnNoPlace(Reason::NoRoom, full->mRetryAfter));
  } else {
    Execute(mLife->OnNoPlace(
      Reason::NoUpstream, std::get<placing::NoUpstream>(decision).mRetryAfter));
  }
}

void Carrier::LeaveQueue()
{
  if (mTicket) {
    mWaited = mServices.mLoop.Now() - mArrived;
    mServices.mDispatcher.Leave(*std::exchange(mTicket, std::nullopt));
  }
}

http::ClientRequest Carrier::MakeRequest(
  const base::UpstreamId& aUpstream) const
{
  const http::RequestHead& head = mExchange->Head();
  http::ClientRequest request;
  request.mEndpoint = mServices.mEndpoints.at(aUpstream);
  request.mMethod = head.mMethod;
  request.mTarget =
    head.mQuery.empty() ? head.mPath : head.mPath + '?' + head.mQuery;
  request.mHeaders = head.mHeaders;
  http::RemoveHopByHop(request.mHeaders);
  mServices.mTranslator.WriteAttempt(request.mHeaders, TimeLeft(), aUpstream);
  if (head.mIsChunked && !mIsBodyStreaming) {
    request.mContentLength = base::ByteCount(mBody.size());
  } else {
    request.mContentLength = head.mContentLength;
    request.mIsChunked = head.mIsChunked;
  }
  if (mRoute->mKind != routing::RequestKind::Idempotent) {
    const auto trust = mServices.mIdleTrust.find(mPlaceRequest.mService);
    request.mMaxIdle = trust == mServices.mIdleTrust.end()
                         ? retries::IdleTrustSettings().mMost
                         : trust->second.MaxIdle(mServices.mLoop.Now());
  }
  request.mConnectTimeout = kConnectTimeout;
  request.mIsOwnResponse = [translator = &mServices.mTranslator,
                            id = mFacts.mId](const http::ResponseHead& aHead) {
    return translator->IsResponseTo(aHead, id);
  };
  return request;
}

void Carrier::Send(const placing::Placed& aPlace)
{
  mPlaceRequest.mTried.push_back(aPlace.mUpstream);
  mIsAttemptOpen = true;
  mAttempt = std::make_shared<Attempt>(mServices, *this, aPlace);
  mAttempt->Start(MakeRequest(aPlace.mUpstream));
  mAttempt->Exchange().SendBody(mBody);
  if (mIsBodyComplete) {
    mAttempt->Exchange().EndBody();
  }
  WatchForStraggling();
}

void Carrier::WatchForStraggling()
{
  StopWatch();
  const auto limit = mServices.mStragglers.Limit(
    mAttempt->Place().mExpected, mOnTimeUntil - mServices.mLoop.Now());
  if (limit && mLife->MayReplaceAttempt()) {
    mStragglerTimer = mServices.mLoop.After(*limit, [this] {
      mStragglerTimer.reset();
      const auto self = shared_from_this();
      OnStraggling();
    });
  }
}

void Carrier::OnStraggling()
{
  const base::TimePoint now = mServices.mLoop.Now();
  if (!mLife->MayReplaceAttempt() || mAttempt->HasHead() ||
      mServices.mCrashes.IsRefused(now, mFingerprint)) {
    return;
  }
  // The upstream that has the object at hand may be tried again: stragglers
  // are a matter of chance.
  placing::PlaceRequest request = mPlaceRequest;
  request.mTried.pop_back();
  request.mStraggling = mAttempt->Place().mUpstream;
  request.mTimeLeft = TimeLeft();
  const placing::PlaceDecision decision =
    mServices.mPlacement.Place(now, request);
  const auto* place = std::get_if<placing::Placed>(&decision);
  if (place == nullptr) {
    mStragglerTimer = mServices.mLoop.After(kStragglerPause, [this] {
      mStragglerTimer.reset();
      const auto self = shared_from_this();
      OnStraggling();
    });
    return;
  }
  const bool isAllowed = mServices.mStragglers.TrySpend(now) &&
                         mServices.Budget(mPlaceRequest.mService)
                           .TrySpend(now, mServices.mSharers, kStragglerBudget);
  if (!isAllowed) {
    mServices.mPlacement.OnResult(now, request,
                                  { place->mUpstream, Outcome::Abandoned });
    return;
  }
  base::LogInfo(
    base::LogLine("straggler")
      .With("id", mFacts.mId)
      .With("upstream", mAttempt->Place().mUpstream)
      .With("expected_ms", Milliseconds(mAttempt->Place().mExpected))
      .With("ms", Milliseconds(mAttempt->Elapsed()))
      .With("to", place->mUpstream));
  EndAttempt(Outcome::Overtaken);
  mAttempt->Cancel();
  mLife->OnAttemptReplaced();
  Send(*place);
}

void Carrier::StopWatch()
{
  if (mStragglerTimer) {
    mServices.mLoop.Cancel(*std::exchange(mStragglerTimer, std::nullopt));
  }
}

void Carrier::EndAttempt(Outcome aOutcome)
{
  if (!std::exchange(mIsAttemptOpen, false)) {
    return;
  }
  placing::PlacedResult result;
  result.mUpstream = mAttempt->Place().mUpstream;
  result.mOutcome = aOutcome;
  result.mWarmth = mAttempt->Place().mWarmth;
  result.mExpectedWork = mAttempt->Place().mExpectedWork;
  StopWatch();
  if (aOutcome == Outcome::Overtaken || aOutcome == Outcome::Answered) {
    result.mElapsed = mAttempt->Elapsed();
    mServices.mStragglers.OnEnded(mAttempt->Place().mExpected,
                                  mAttempt->Elapsed());
  }
  if (const auto trip = mAttempt->Exchange().ConnectTime()) {
    mServices.mPlacement.OnTrip(mAttempt->Place().mUpstream, *trip);
  }
  if (mAttempt->HasHead()) {
    result.mReport = mServices.mTranslator.ReadResponse(mAttempt->Head()).mLoad;
  }
  mServices.mPlacement.OnResult(mServices.mLoop.Now(), mPlaceRequest, result);
  mServices.mDispatcher.OnRoom();
}

void Carrier::OnAttemptResponse()
{
  const auto self = shared_from_this();
  const ResponseFacts facts =
    mServices.mTranslator.ReadResponse(mAttempt->Head());
  carriage::ResponseMeaning meaning;
  meaning.mIsNotRun = facts.mIsNotRun || facts.mIsOtherUpstream;
  meaning.mIsFailure = mAttempt->Head().mStatus >= kFirstServerError;
  meaning.mHadRoom =
    facts.mLoad && facts.mLoad->mRunning < facts.mLoad->mSlots.Count();
  if (facts.mIsOtherUpstream) {
    EndAttempt(Outcome::Unreachable);
  } else if (meaning.mIsNotRun) {
    EndAttempt(Outcome::Rejected);
  } else {
    EndAttempt(meaning.mIsFailure ? Outcome::Failed : Outcome::Answered);
    mServices.mCrashes.OnSuccess(mServices.mLoop.Now(), mFingerprint);
  }
  const carriage::LifeActions actions = mLife->OnResponse(meaning);
  if (actions.empty()) { // the end of a streamed response
    StopTimer();
    mExchange->Finish();
    LogEnd("relayed", mAttempt->Head().mStatus);
    return;
  }
  if (meaning.mIsFailure && !meaning.mIsNotRun) {
    mKept = mAttempt;
  }
  Execute(actions);
}

void Carrier::OnAttemptStreaming()
{
  mLife->OnStreaming();
  mIsAnswered = true;
  http::ResponseHead head = mAttempt->Head();
  http::RemoveHopByHop(head.mHeaders);
  mExchange->SendHead(head);
  mExchange->SendBody(mAttempt->Body());
}

void Carrier::OnAttemptBody(std::string_view aPart)
{
  mExchange->SendBody(aPart);
  if (mExchange->PendingBytes() > kMaxPending) {
    mAttempt->Exchange().PauseReading(true);
  }
}

void Carrier::OnWritable()
{
  if (mAttempt && mLife && !mLife->IsEnded()) {
    mAttempt->Exchange().PauseReading(false);
  }
}

void Carrier::OnAttemptWritable()
{
  if (mIsBodyStreaming) {
    mExchange->PauseReading(false);
  }
}

void Carrier::OnAttemptFailed(const http::Failure& aFailure)
{
  const auto self = shared_from_this();
  const bool isUnreachable =
    aFailure.mKind == http::FailureKind::ConnectRefused ||
    aFailure.mKind == http::FailureKind::ConnectTimeout;
  WatchForCrash(aFailure);
  EndAttempt(isUnreachable ? Outcome::Unreachable : Outcome::Failed);
  Execute(mLife->OnAttemptFailed(aFailure.mMayHaveReached));
}

void Carrier::WatchForCrash(const http::Failure& aFailure)
{
  const base::TimePoint now = mServices.mLoop.Now();
  const base::UpstreamId& upstream = mAttempt->Place().mUpstream;
  if (aFailure.mKind == http::FailureKind::ConnectRefused) {
    for (const retries::CrashRecord& it :
         mServices.mCrashes.OnRefusedConnection(now, upstream)) {
      base::LogWarning(base::LogLine("upstream_crash")
                         .With("upstream", upstream)
                         .With("fingerprint", it.mFingerprint)
                         .With("crashes", it.mUpstreams.size()));
      mServices.mReportCrash(mPlaceRequest.mService, it);
    }
  } else if (aFailure.mKind == http::FailureKind::Reset &&
             aFailure.mMayHaveReached) {
    mServices.mCrashes.OnBroken(now, upstream, mFingerprint);
    if (aFailure.mIdleBefore) {
      mServices.mIdleTrust[mPlaceRequest.mService].OnReset(
        now, *aFailure.mIdleBefore, mAttempt->Elapsed(), kResetRoundTrip);
    }
  }
}

void Carrier::CancelAttempt()
{
  EndAttempt(Outcome::Abandoned);
  mAttempt->Cancel();
}

void Carrier::Relay()
{
  StopTimer();
  http::ResponseHead head = mAttempt->Head();
  http::RemoveHopByHop(head.mHeaders);
  if (mExchange->Head().mMethod != "HEAD") {
    head.mContentLength = base::ByteCount(mAttempt->Body().size());
  }
  const std::string body = mAttempt->Body();
  LogEnd("relayed", head.mStatus);
  mIsAnswered = true;
  mExchange->SendHead(head);
  mExchange->SendBody(body);
  if (!mExchange->IsClosed()) {
    mExchange->Finish();
  }
}

void Carrier::Refuse(Reason aReason, base::Duration aRetryAfter)
{
  LeaveQueue();
  StopTimer();
  LogEnd(carriage::ReasonName(aReason), 503);
  mIsAnswered = true;
  http::Headers headers;
  if (aRetryAfter > base::Duration::zero()) {
    headers.Append("retry-after", FormatSeconds(aRetryAfter));
  }
  mExchange->Respond(503, headers, "");
}

void Carrier::DenyUnknownRoute()
{
  LogEnd("no_route", 404);
  mIsAnswered = true;
  mExchange->Respond(404, {}, "");
}

void Carrier::SendFailure(Reason aReason)
{
  LeaveQueue();
  if (mIsAnswered) { // a part of a response was delivered
    StopTimer();
    LogEnd("cut", 0);
    mExchange->Abort();
    return;
  }
  if (mKept) {
    mAttempt = mKept;
    Relay();
    return;
  }
  StopTimer();
  const int status = aReason == Reason::TimeUp ? 504 : 502;
  LogEnd(carriage::ReasonName(aReason), status);
  mIsAnswered = true;
  mExchange->Respond(status, {}, "");
}

void Carrier::OnClosed(bool aIsComplete)
{
  if (!aIsComplete && mLife && !mLife->IsEnded()) {
    LogEnd("client_gone", 0);
    Execute(mLife->OnCallerGone());
  }
  LeaveQueue();
  StopTimer();
}

void Carrier::LogEnd(std::string_view aOutcome, int aStatus)
{
  base::LogLine line("request");
  line.With("id", mFacts.mId)
    .With("outcome", aOutcome)
    .With("status", aStatus)
    .With("ms", Milliseconds(mServices.mLoop.Now() - mArrived))
    .With("config", mServices.mRoutes.Version());
  if (mRoute) {
    line.With("route", mRoute->mId)
      .With("service", mPlaceRequest.mService)
      .With("object", mFacts.mObject.value_or(""));
  }
  if (mLife && mLife->Attempts() > 0) {
    line.With("attempts", mLife->Attempts())
      .With("upstream", mAttempt->Place().mUpstream)
      .With("warmth", static_cast<int>(mAttempt->Place().mWarmth))
      .With("expected_ms", Milliseconds(mAttempt->Place().mExpected))
      .With("attempt_ms", Milliseconds(mAttempt->Elapsed()))
      .With("waited_ms", Milliseconds(mWaited));
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

} // namespace auburnmux::entry
