#include "entry/src/RequestForwarder.h"

#include <algorithm>
#include <utility>

namespace auburnmux::entry {

namespace {

using carriage::Reason;
using placing::Outcome;

/** Timeout of a request when neither the client nor the route sets one. */
constexpr base::Duration kDefaultTimeout = std::chrono::seconds(60);

/** Passes the events of the exchange to the forwarder and keeps it alive. */
class ExchangeObserver final : public http::RequestObserver
{
public:
  explicit ExchangeObserver(std::shared_ptr<RequestForwarder> aForwarder)
    : mForwarder(std::move(aForwarder))
  {
  }
  void OnBody(std::string_view aPart) override { mForwarder->OnBody(aPart); }
  void OnBodyEnd() override { mForwarder->OnBodyEnd(); }
  void OnWritable() override { mForwarder->OnWritable(); }
  void OnTurn() override { mForwarder->OnTurn(); }
  void OnResponseDue() override { mForwarder->OnResponseDue(); }
  void OnClosed(bool aIsComplete) override
  {
    mForwarder->OnClosed(aIsComplete);
  }

private:
  std::shared_ptr<RequestForwarder> mForwarder;
};

} // namespace

struct RequestForwarder::ActionVisitor
{
  RequestForwarder& mForwarder;

  void operator()(const carriage::SelectUpstream& aAction) const
  {
    mForwarder.SelectUpstream(aAction.mUsesRetryBudget);
  }
  void operator()(const carriage::Relay& /*aAction*/) const
  {
    mForwarder.Relay();
  }
  void operator()(const carriage::Refuse& aAction) const
  {
    mForwarder.Refuse(aAction.mReason, aAction.mRetryAfter);
  }
  void operator()(const carriage::Fail& aAction) const
  {
    mForwarder.SendFailure(aAction.mReason);
  }
  void operator()(const carriage::CancelAttempt& /*aAction*/) const
  {
    mForwarder.CancelAttempt(Outcome::Abandoned);
  }
};

RequestForwarder::RequestForwarder(
  Services& aServices, std::shared_ptr<http::ServerExchange> aExchange)
  : mServices(aServices)
  , mExchange(std::move(aExchange))
  , mFields(aServices.mTranslator.ReadRequest(mExchange->Head()))
  , mArrived(aServices.mLoop.Now())
  , mBody(aServices.mHoldPolicy.Settings().mBodyBound.Count(), aServices.mHeld)
  , mBodyArrived(mArrived)
{
  mServices.mRequests.insert(this);
}

RequestForwarder::~RequestForwarder()
{
  mServices.mRequests.erase(this);
  LeaveQuota();
  GiveBackToken();
  if (mIsLargeBody) {
    mServices.mLargeBodies.erase(this);
  }
  StopTimer();
  StopStragglerTimer();
}

void RequestForwarder::Start()
{
  const http::RequestHead& head = mExchange->Head();
  mRoute = mServices.mRoutes.Find(
    head.mHeaders.Find("host").value_or(std::string_view()), head.mPath);
  mExchange->Observe(std::make_unique<ExchangeObserver>(shared_from_this()));
  if (mServices.mRoutes.IsEmpty()) {
    Refuse(Reason::NoConfiguration, std::chrono::milliseconds(500));
    return;
  }
  if (mServices.mRefusesRequests) {
    Refuse(Reason::Stopping, kStoppingRetryAfter);
    return;
  }
  if (!mRoute) {
    RespondUnknownRoute();
    return;
  }
  if (const auto refusal = Identify()) {
    Refuse(*refusal, kOutdatedRetryAfter);
    return;
  }
  carriage::RequestRetryPolicy terms;
  terms.mMayRepeat = mRoute->mKind == routing::RequestKind::Idempotent;
  terms.mMaxAttempts = std::max(1U, mRoute->mMaxAttempts);
  mStateMachine.emplace(terms);
  mPlaceRequest.mService = mServices.mSplits.Next(*mRoute);
  mPlaceRequest.mKind =
    mRoute->mId.Text() + ' ' + mPlaceRequest.mService.Text();
  mPlaceRequest.mLatencyTarget = mRoute->mLatencyTarget;
  mServices.RetryBudget(mPlaceRequest.mService).OnRequest(mArrived);
  mServices.mStragglers.OnRequest(mArrived);
  mLatencyDeadline = mArrived + mRoute->mLatencyTarget - TimeSpentBefore();
  StartTimer();
  if (IsCutOffByStop()) {
    Execute(mStateMachine->OnRefused(Reason::Stopping, kStoppingRetryAfter));
    return;
  }
  if (head.mContentLength && RefuseLargeBody(head.mContentLength->Count())) {
    return;
  }
  if (mBody.IsComplete()) {
    Execute(mStateMachine->OnReadyToSend());
  }
}

bool RequestForwarder::RefuseLargeBody(std::size_t aSize)
{
  if (mServices.mHoldPolicy.AcceptsBody(base::ByteCount(aSize),
                                        mServices.mHeld->Total())) {
    return false;
  }
  mServices.mMetrics.Count("auburnmux_bodies_refused_total",
                           { { "reason", "size" } });
  Execute(mStateMachine->OnRefused(Reason::MemoryLimit, kMemoryRetryAfter));
  return true;
}

void RequestForwarder::ListLargeBody(std::size_t aSize)
{
  if (!mIsLargeBody &&
      aSize > mServices.mHoldPolicy.Settings().mMinBound.Count()) {
    mIsLargeBody = true;
    mServices.mLargeBodies.insert(this);
  }
}

std::optional<buffering::HeldClient> RequestForwarder::WaitingBody() const
{
  if (mBody.IsComplete() || mBody.IsStreamed() || mStateMachine->IsEnded()) {
    return std::nullopt;
  }
  return buffering::HeldClient{ base::ByteCount(mBody.Size()), mBodyArrived };
}

void RequestForwarder::RefuseWaitingBody()
{
  const auto self = shared_from_this();
  mServices.mMetrics.Count("auburnmux_bodies_refused_total",
                           { { "reason", "idle" } });
  Execute(mStateMachine->OnRefused(Reason::MemoryLimit, kMemoryRetryAfter));
}

void RequestForwarder::StartTimer()
{
  base::Duration limit = mFields.mTimeLeft.value_or(kDefaultTimeout);
  if (mRoute->mTimeout) {
    limit = std::min(limit, *mRoute->mTimeout);
  }
  mDeadline = mArrived + limit;
  mTimer = mServices.mLoop.After(limit, [this] {
    mTimer.reset();
    const auto self = shared_from_this();
    EndAttempt(Outcome::TimedOut);
    Execute(mStateMachine->OnDeadlineExceeded());
  });
}

bool RequestForwarder::IsCutOffByStop() const
{
  if (!mServices.mExitAt) {
    return false;
  }
  const base::Duration untilExit = *mServices.mExitAt - mServices.mLoop.Now();
  return !admission::EndsBeforeExit(
    untilExit,
    { TimeLeft(), mServices.mPlacement.ExpectedWork(mPlaceRequest) });
}

base::Duration RequestForwarder::TimeSpentBefore()
{
  if (!mFields.mTimeLeft) {
    return {};
  }
  base::Duration& longest = mServices.mMaxTimeLeft[mRoute->mId];
  longest = std::max(longest, *mFields.mTimeLeft);
  return longest - *mFields.mTimeLeft;
}

void RequestForwarder::StopTimer()
{
  if (mTimer) {
    mServices.mLoop.Cancel(*mTimer);
    mTimer.reset();
  }
}

base::Duration RequestForwarder::TimeLeft() const
{
  return mDeadline - mServices.mLoop.Now();
}

void RequestForwarder::Execute(const carriage::RequestActions& aActions)
{
  const auto self = shared_from_this();
  for (const carriage::RequestAction& it : aActions) {
    std::visit(ActionVisitor{ *this }, it);
  }
}

void RequestForwarder::OnBody(std::string_view aPart)
{
  if (!mStateMachine || mStateMachine->IsEnded()) {
    return;
  }
  const std::size_t size = mBody.Size() + aPart.size();
  if (!mBody.IsStreamed()) {
    if (RefuseLargeBody(size)) {
      return;
    }
    mBody.SetBound(
      mServices.mHoldPolicy.BodyBound(mServices.mHeld->Total()).Count());
    ListLargeBody(size);
    mBodyArrived = mServices.mLoop.Now();
  }
  switch (mBody.OnPart(aPart)) {
    case carriage::RequestBody::Arrival::Buffered:
      return;
    case carriage::RequestBody::Arrival::Overflowed:
      mExchange->PauseReading(true); // until an attempt begins
      mStateMachine->OnBodyNotBuffered();
      Execute(mStateMachine->OnReadyToSend());
      return;
    case carriage::RequestBody::Arrival::Kept:
      mExchange->PauseReading(true);
      return;
    case carriage::RequestBody::Arrival::Forward:
      mAttempt->Exchange().SendBody(aPart);
      PauseClientIfBehind();
      return;
  }
}

void RequestForwarder::OnBodyEnd()
{
  mBody.OnEnd();
  if (!mStateMachine || mStateMachine->IsEnded()) {
    return;
  }
  if (!mBody.IsStreamed()) {
    Execute(mStateMachine->OnReadyToSend());
  } else if (mBody.HasAttempt()) {
    mAttempt->Exchange().EndBody();
  }
}

void RequestForwarder::PauseClientIfBehind()
{
  mExchange->PauseReading(mAttempt->Exchange().PendingBytes() >
                          mServices.ExchangeBound());
}

} // namespace auburnmux::entry
