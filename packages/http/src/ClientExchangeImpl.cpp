#include "http/src/HttpClientConnection.h"

#include <cassert>
#include <cstdio>
#include <utility>

namespace auburnmux::http::internal {

ClientExchangeImpl::ClientExchangeImpl(
  Loop& aLoop, ClientRequest aRequest,
  std::shared_ptr<ResponseObserver> aObserver)
  : mLoop(aLoop)
  , mRequest(std::move(aRequest))
  , mObserver(std::move(aObserver))
{
  if (mRequest.mContentLength) {
    mUnsentBody = mRequest.mContentLength->Count();
  }
  mIsRequestComplete = mUnsentBody == 0 && !mRequest.mIsChunked;
}

void ClientExchangeImpl::Attach(
  std::shared_ptr<HttpClientConnection> aConnection)
{
  mConnection = std::move(aConnection);
}

base::ByteCount ClientExchangeImpl::PendingBytes() const
{
  return base::ByteCount(mConnection ? mConnection->PendingBytes() : 0);
}

base::ByteCount ClientExchangeImpl::UnacknowledgedBytes() const
{
  return base::ByteCount(mConnection ? mConnection->UnacknowledgedBytes() : 0);
}

void ClientExchangeImpl::SendBody(std::string_view aPart)
{
  if (!mConnection || aPart.empty()) {
    return;
  }
  if (mRequest.mIsChunked) {
    char buf[24];
    const int n = std::snprintf(buf, sizeof buf, "%zx\r\n", aPart.size());
    mConnection->Queue({ buf, static_cast<std::size_t>(n) });
    mConnection->Queue(aPart);
    mConnection->Queue("\r\n");
  } else {
    assert(aPart.size() <= mUnsentBody);
    mUnsentBody -= aPart.size();
    mIsRequestComplete = mUnsentBody == 0;
    mConnection->Queue(aPart);
  }
  mConnection->FlushSoon();
}

void ClientExchangeImpl::EndBody()
{
  if (!mRequest.mIsChunked || mIsRequestComplete) {
    return;
  }
  mIsRequestComplete = true;
  if (mConnection) {
    mConnection->Queue("0\r\n\r\n");
    mConnection->FlushSoon();
  }
}

void ClientExchangeImpl::PauseReading(bool aIsPaused)
{
  const bool wasPaused = std::exchange(mIsPaused, aIsPaused);
  if (wasPaused && !aIsPaused && mConnection) {
    mConnection->ReadSoon();
  }
}

void ClientExchangeImpl::Cancel()
{
  mObserver.reset();
  if (const auto connection = std::exchange(mConnection, nullptr)) {
    connection->Close();
  }
}

void ClientExchangeImpl::Detach()
{
  mObserver.reset();
  mConnection.reset();
}

void ClientExchangeImpl::HandleHead(const ResponseHead& aHead)
{
  if (const auto observer = mObserver) {
    observer->OnHead(aHead);
  }
}

void ClientExchangeImpl::HandleBody(std::string_view aPart)
{
  if (const auto observer = mObserver) {
    observer->OnBody(aPart);
  }
}

void ClientExchangeImpl::HandleWritable()
{
  if (const auto observer = mObserver) {
    observer->OnWritable();
  }
}

void ClientExchangeImpl::HandleEnd()
{
  mConnection.reset();
  if (const auto observer = std::exchange(mObserver, nullptr)) {
    observer->OnEnd();
  }
}

void ClientExchangeImpl::HandleFailure(FailureKind aKind)
{
  mConnection.reset();
  if (const auto observer = std::exchange(mObserver, nullptr)) {
    observer->OnFailure({ aKind, mMayHaveReached, mIdleBefore });
  }
}

} // namespace auburnmux::http::internal
