#include "entry/src/Carrier.h"

#include <algorithm>
#include <utility>

namespace auburnmux::entry {

namespace {

using carriage::Reason;
using placing::Outcome;

/** Longest wait for a response when neither client nor route sets one. */
constexpr base::Duration kDefaultTime = std::chrono::seconds(60);

/** Wait that is proposed to clients of a host that stops: other hosts are
 * there at once. */
constexpr base::Duration kStoppingRetryAfter = std::chrono::milliseconds(50);

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

  void operator()(const carriage::SelectUpstream& aAction) const
  {
    mCarrier.Seek(aAction.mUsesRetryBudget);
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
    mCarrier.CancelAttempt(Outcome::Abandoned);
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
  carriage::RequestRetryPolicy terms;
  terms.mMayRepeat = mRoute->mKind == routing::RequestKind::Idempotent;
  terms.mMaxAttempts = std::max(1U, mRoute->mMaxAttempts);
  mLife.emplace(terms);
  mPlaceRequest.mService = mServices.mSplits.Next(*mRoute);
  mServices.Budget(mPlaceRequest.mService).OnRequest(mArrived);
  mServices.mStragglers.OnRequest(mArrived);
  mOnTimeUntil = mArrived + mRoute->mLatencyTarget - TimeSpentBefore();
  StartTimer();
  if (mIsBodyComplete) {
    Execute(mLife->OnReadyToSend());
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
    Execute(mLife->OnDeadlineExceeded());
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

void Carrier::Execute(const carriage::RequestActions& aActions)
{
  const auto self = shared_from_this();
  for (const carriage::RequestAction& it : aActions) {
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
    mLife->OnBodyNotBuffered();
    Execute(mLife->OnReadyToSend());
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
  Execute(mLife->OnReadyToSend());
}

} // namespace auburnmux::entry
