#include "http/src/ServerExchangeImpl.h"

#include "http/src/HttpServerConnection.h"

#include <cassert>
#include <cstdio>
#include <utility>

namespace auburnmux::http::internal {

namespace {

const char* ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 204:
      return "No Content";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 412:
      return "Precondition Failed";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

} // namespace

ServerExchangeImpl::ServerExchangeImpl(HttpServerConnection& aConnection,
                                       RequestHead aHead)
  : mConnection(&aConnection)
  , mHead(std::move(aHead))
  , mWaitingAccount(aConnection.Account(), buffering::Receiver::Client)
{
}

base::ByteCount ServerExchangeImpl::PendingBytes() const
{
  return base::ByteCount(
    mConnection == nullptr ? 0 : mConnection->PendingBytes(*this));
}

void ServerExchangeImpl::Observe(std::unique_ptr<RequestObserver> aObserver)
{
  mObserver = std::move(aObserver);
  DeliverEarlyEvents();
  if (mIsWaitingForObserver && mConnection != nullptr) {
    mConnection->ReadSoon();
  }
  mIsWaitingForObserver = false;
}

void ServerExchangeImpl::DeliverEarlyEvents()
{
  if (!mEarlyBody.empty()) {
    const std::string body = std::exchange(mEarlyBody, {});
    mObserver->OnBody(body);
  }
  if (mIsBodyEnded && !mIsBodyEndDelivered && mObserver) {
    mIsBodyEndDelivered = true;
    mObserver->OnBodyEnd();
  }
}

void ServerExchangeImpl::PauseReading(bool aIsPaused)
{
  const bool wasPaused = std::exchange(mIsPaused, aIsPaused);
  if (wasPaused && !aIsPaused && mConnection != nullptr) {
    mConnection->ReadSoon();
  }
}

void ServerExchangeImpl::SendHead(const ResponseHead& aHead)
{
  assert(!mIsHeadSent);
  mIsHeadSent = true;
  if (mConnection == nullptr) {
    return;
  }
  std::string out = "HTTP/1.1 " + std::to_string(aHead.mStatus) + ' ' +
                    ReasonPhrase(aHead.mStatus) + "\r\n";
  for (const Header& it : aHead.mHeaders.Fields()) {
    if (!IsHopByHop(it.mName) && it.mName != "content-length") {
      AppendField(out, it);
    }
  }
  const bool hasNoBody = aHead.mStatus == 204 || aHead.mStatus == 304;
  if (aHead.mContentLength) {
    AppendField(
      out, { "content-length", std::to_string(aHead.mContentLength->Count()) });
  } else if (!hasNoBody) {
    mIsChunked = true;
    AppendField(out, { "transfer-encoding", "chunked" });
  }
  if (mClosesAfter) {
    AppendField(out, { "connection", "close" });
  }
  mFieldsEnd = mWaiting.size() + out.size();
  out += "\r\n";
  Write(out);
  FlushSoon();
}

void ServerExchangeImpl::CloseAfterResponse()
{
  const bool isHeadWaiting = mConnection != nullptr && mIsHeadSent && !mHasTurn;
  if (!std::exchange(mClosesAfter, true) && isHeadWaiting) {
    std::string field;
    AppendField(field, { "connection", "close" });
    mWaiting.insert(mFieldsEnd, field);
    mWaitingAccount.Set(mWaiting.size());
  }
}

void ServerExchangeImpl::Write(std::string_view aBytes)
{
  if (mHasTurn) {
    mConnection->Queue(aBytes);
  } else {
    mWaiting += aBytes;
    mWaitingAccount.Set(mWaiting.size());
  }
}

void ServerExchangeImpl::FlushSoon()
{
  if (mHasTurn) {
    mConnection->FlushSoon();
  }
}

void ServerExchangeImpl::HandleTurn()
{
  mHasTurn = true;
  const std::string waiting = std::exchange(mWaiting, {});
  mWaitingAccount.Set(0);
  mConnection->Queue(waiting);
  if (mObserver) {
    mObserver->OnTurn();
  }
}

void ServerExchangeImpl::SendContinue()
{
  Write("HTTP/1.1 100 Continue\r\n\r\n");
  FlushSoon();
}

void ServerExchangeImpl::AppendChunk(std::string_view aPart)
{
  char buf[24];
  const int n = std::snprintf(buf, sizeof buf, "%zx\r\n", aPart.size());
  Write({ buf, static_cast<std::size_t>(n) });
  Write(aPart);
  Write("\r\n");
}

void ServerExchangeImpl::SendBody(std::string_view aPart)
{
  assert(mIsHeadSent && !mIsFinished);
  if (mConnection == nullptr || aPart.empty() || mHead.mMethod == "HEAD") {
    return;
  }
  if (mIsChunked) {
    AppendChunk(aPart);
  } else {
    Write(aPart);
  }
  FlushSoon();
}

void ServerExchangeImpl::Finish()
{
  assert(mIsHeadSent && !mIsFinished);
  if (mConnection == nullptr) {
    return;
  }
  mIsFinished = true;
  mIsWaitingForObserver = false;
  mIsPaused = false;
  if (mIsChunked && mHead.mMethod != "HEAD") {
    Write("0\r\n\r\n");
  }
  FlushSoon();
  if (!mIsBodyEnded) {
    mConnection->ReadSoon(); // reads and discards the rest of the body
  }
}

void ServerExchangeImpl::Abort()
{
  if (mConnection != nullptr) {
    mConnection->Abort(*this);
  }
}

void ServerExchangeImpl::HandleBody(std::string_view aPart)
{
  if (mIsFinished) {
    return;
  }
  if (mObserver) {
    mObserver->OnBody(aPart);
  } else {
    mEarlyBody += aPart;
    mIsWaitingForObserver = true;
  }
}

void ServerExchangeImpl::HandleBodyEnd()
{
  mIsBodyEnded = true;
  if (!mIsFinished && mObserver) {
    mIsBodyEndDelivered = true;
    mObserver->OnBodyEnd();
  }
}

void ServerExchangeImpl::HandleWritable()
{
  if (mObserver && !mIsFinished) {
    mObserver->OnWritable();
  }
}

void ServerExchangeImpl::HandleResponseDue()
{
  if (mObserver && !mIsHeadSent) {
    mObserver->OnResponseDue();
  }
}

void ServerExchangeImpl::HandleClosed(bool aIsComplete)
{
  mConnection = nullptr;
  mWaiting.clear();
  mWaitingAccount.Set(0);
  if (mObserver) {
    const std::unique_ptr<RequestObserver> observer = std::move(mObserver);
    observer->OnClosed(aIsComplete);
  }
}

} // namespace auburnmux::http::internal
