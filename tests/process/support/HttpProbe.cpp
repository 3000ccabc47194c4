#include "support/HttpProbe.h"

namespace auburnmux::process {

namespace {

constexpr base::Duration kPollPeriod = std::chrono::milliseconds(20);

Reply ToReply(const http::FetchResult& aResult)
{
  Reply reply;
  if (!aResult.mFailure) {
    reply.mStatus = aResult.mHead.mStatus;
    reply.mHeaders = aResult.mHead.mHeaders;
    reply.mOutcome = reply.mHeaders.Find("work-outcome").value_or("none");
    reply.mBody = aResult.mBody;
  }
  return reply;
}

} // namespace

HttpProbe::Pending HttpProbe::Start(const http::ClientRequest& aRequest,
                                    const std::string& aBody,
                                    base::Duration aTimeout)
{
  auto pending = std::make_shared<std::optional<Reply>>();
  http::Fetch(
    mLoop, mClient, aRequest, aBody, aTimeout,
    [pending](const http::FetchResult& aIt) { *pending = ToReply(aIt); });
  return pending;
}

Reply HttpProbe::Wait(const Pending& aPending)
{
  while (!*aPending) {
    mLoop.RunOnce(); // the timer of Fetch() bounds the wait
  }
  return **aPending;
}

Reply HttpProbe::Send(const http::ClientRequest& aRequest,
                      const std::string& aBody, base::Duration aTimeout)
{
  return Wait(Start(aRequest, aBody, aTimeout));
}

bool HttpProbe::Until(const std::function<bool()>& aIsMet,
                      base::Duration aBound)
{
  const base::TimePoint end = mLoop.Now() + aBound;
  while (!aIsMet()) {
    if (mLoop.Now() >= end) {
      return false;
    }
    RunFor(kPollPeriod);
  }
  return true;
}

void HttpProbe::RunFor(base::Duration aTime)
{
  bool isOver = false;
  mLoop.After(aTime, [&isOver] { isOver = true; });
  while (!isOver) {
    mLoop.RunOnce();
  }
}

} // namespace auburnmux::process
