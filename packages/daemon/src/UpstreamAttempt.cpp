#include "daemon/src/UpstreamAttempt.h"

#include <utility>

namespace auburnmux::daemon {

namespace {

struct TargetName
{
  std::string operator()(const base::UpstreamId& aUpstream) const
  {
    return aUpstream.Text();
  }
  std::string operator()(const HostTarget& aTarget) const
  {
    return "host:" + aTarget.mHost.Text();
  }
};

} // namespace

std::string TargetText(const AttemptTarget& aTarget)
{
  return std::visit(TargetName{}, aTarget);
}

UpstreamAttempt::UpstreamAttempt(base::AttemptId aId, AttemptTarget aTarget,
                                 std::weak_ptr<AttemptOwner> aOwner,
                                 base::TimePoint aStart)
  : mId(aId)
  , mTarget(std::move(aTarget))
  , mOwner(std::move(aOwner))
  , mStart(aStart)
  , mLastProgress(aStart)
{
}

void UpstreamAttempt::Start(http::Client& aClient,
                            const http::ClientRequest& aRequest,
                            const std::string* aBody)
{
  mExchange = aClient.Send(aRequest, shared_from_this());
  if (aBody != nullptr && !aBody->empty()) {
    mExchange->SendBody(*aBody);
  }
}

bool UpstreamAttempt::MayHaveReached() const
{
  return mExchange && mExchange->MayHaveReached();
}

void UpstreamAttempt::Cancel()
{
  if (!mIsOver) {
    mIsOver = true;
    if (mExchange) {
      mExchange->Cancel();
    }
  }
}

void UpstreamAttempt::OnHead(const http::ResponseHead& aHead)
{
  mHead = aHead;
  mHasHead = true;
  if (const auto owner = mOwner.lock(); owner && !mIsOver) {
    owner->OnAttemptHead(*this);
  }
}

void UpstreamAttempt::OnBody(std::string_view aPart)
{
  if (const auto owner = mOwner.lock(); owner && !mIsOver) {
    owner->OnAttemptBody(*this, aPart);
  }
}

void UpstreamAttempt::OnEnd()
{
  if (std::exchange(mIsOver, true)) {
    return;
  }
  if (const auto owner = mOwner.lock()) {
    owner->OnAttemptEnd(*this);
  }
}

void UpstreamAttempt::OnFailure(const http::Failure& aFailure)
{
  if (std::exchange(mIsOver, true)) {
    return;
  }
  if (const auto owner = mOwner.lock()) {
    owner->OnAttemptFailure(*this, aFailure);
  }
}

void UpstreamAttempt::OnWritable()
{
  if (const auto owner = mOwner.lock(); owner && !mIsOver) {
    owner->OnAttemptWritable(*this);
  }
}

} // namespace auburnmux::daemon
