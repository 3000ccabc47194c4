#include "http/src/ClientConnection.h"

#include <cassert>
#include <cstdio>
#include <utility>

namespace auburnmux::http::internal {

ClientConnection::ClientConnection(Loop& aLoop, ClientRequest aRequest,
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

void ClientConnection::Attach(std::shared_ptr<ClientLink> aLink)
{
  mLink = std::move(aLink);
}

base::ByteCount ClientConnection::PendingBytes() const
{
  return base::ByteCount(mLink ? mLink->Pending() : 0);
}

base::ByteCount ClientConnection::UnacknowledgedBytes() const
{
  return base::ByteCount(mLink ? mLink->Unacknowledged() : 0);
}

void ClientConnection::SendBody(std::string_view aPart)
{
  if (!mLink || aPart.empty()) {
    return;
  }
  if (mRequest.mIsChunked) {
    char buf[24];
    const int n = std::snprintf(buf, sizeof buf, "%zx\r\n", aPart.size());
    mLink->Queue({ buf, static_cast<std::size_t>(n) });
    mLink->Queue(aPart);
    mLink->Queue("\r\n");
  } else {
    assert(aPart.size() <= mUnsentBody);
    mUnsentBody -= aPart.size();
    mIsRequestComplete = mUnsentBody == 0;
    mLink->Queue(aPart);
  }
  mLink->FlushSoon();
}

void ClientConnection::EndBody()
{
  if (!mRequest.mIsChunked || mIsRequestComplete) {
    return;
  }
  mIsRequestComplete = true;
  if (mLink) {
    mLink->Queue("0\r\n\r\n");
    mLink->FlushSoon();
  }
}

void ClientConnection::PauseReading(bool aIsPaused)
{
  const bool wasPaused = std::exchange(mIsPaused, aIsPaused);
  if (wasPaused && !aIsPaused && mLink) {
    mLink->ReadSoon();
  }
}

void ClientConnection::Cancel()
{
  mObserver.reset();
  if (const auto link = std::exchange(mLink, nullptr)) {
    link->Close();
  }
}

void ClientConnection::Forget()
{
  mObserver.reset();
  mLink.reset();
}

void ClientConnection::HandleHead(const ResponseHead& aHead)
{
  if (const auto observer = mObserver) {
    observer->OnHead(aHead);
  }
}

void ClientConnection::HandleBody(std::string_view aPart)
{
  if (const auto observer = mObserver) {
    observer->OnBody(aPart);
  }
}

void ClientConnection::HandleWritable()
{
  if (const auto observer = mObserver) {
    observer->OnWritable();
  }
}

void ClientConnection::HandleEnd()
{
  mLink.reset();
  if (const auto observer = std::exchange(mObserver, nullptr)) {
    observer->OnEnd();
  }
}

void ClientConnection::HandleFailure(FailureKind aKind)
{
  mLink.reset();
  if (const auto observer = std::exchange(mObserver, nullptr)) {
    observer->OnFailure({ aKind, mMayHaveReached, mIdleBefore });
  }
}

} // namespace auburnmux::http::internal
