#include "http/src/ServerConnection.h"

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

ServerConnection::ServerConnection(ServerLink& aLink, RequestHead aHead)
  : mLink(&aLink)
  , mHead(std::move(aHead))
{
}

base::ByteCount ServerConnection::PendingBytes() const
{
  return base::ByteCount(mLink == nullptr ? 0 : mLink->Pending());
}

void ServerConnection::Observe(std::unique_ptr<RequestObserver> aObserver)
{
  mObserver = std::move(aObserver);
  DeliverEarlyEvents();
  if (mIsHeld && mLink != nullptr) {
    mLink->ReadSoon();
  }
  mIsHeld = false;
}

void ServerConnection::DeliverEarlyEvents()
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

void ServerConnection::PauseReading(bool aIsPaused)
{
  const bool wasPaused = std::exchange(mIsPaused, aIsPaused);
  if (wasPaused && !aIsPaused && mLink != nullptr) {
    mLink->ReadSoon();
  }
}

void ServerConnection::SendHead(const ResponseHead& aHead)
{
  assert(!mIsHeadSent);
  mIsHeadSent = true;
  if (mLink == nullptr) {
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
  out += "\r\n";
  mLink->Queue(out);
  mLink->FlushSoon();
}

void ServerConnection::AppendChunk(std::string_view aPart)
{
  char buf[24];
  const int n = std::snprintf(buf, sizeof buf, "%zx\r\n", aPart.size());
  mLink->Queue({ buf, static_cast<std::size_t>(n) });
  mLink->Queue(aPart);
  mLink->Queue("\r\n");
}

void ServerConnection::SendBody(std::string_view aPart)
{
  assert(mIsHeadSent && !mIsFinished);
  if (mLink == nullptr || aPart.empty() || mHead.mMethod == "HEAD") {
    return;
  }
  if (mIsChunked) {
    AppendChunk(aPart);
  } else {
    mLink->Queue(aPart);
  }
  mLink->FlushSoon();
}

void ServerConnection::Finish()
{
  assert(mIsHeadSent && !mIsFinished);
  if (mLink == nullptr) {
    return;
  }
  mIsFinished = true;
  mIsHeld = false;
  mIsPaused = false;
  if (mIsChunked && mHead.mMethod != "HEAD") {
    mLink->Queue("0\r\n\r\n");
  }
  mLink->FlushSoon();
  if (!mIsBodyEnded) {
    mLink->ReadSoon(); // the rest of the body is read and discarded
  }
}

void ServerConnection::Abort()
{
  if (mLink != nullptr) {
    mLink->Close();
  }
}

void ServerConnection::HandleBody(std::string_view aPart)
{
  if (mIsFinished) {
    return;
  }
  if (mObserver) {
    mObserver->OnBody(aPart);
  } else {
    mEarlyBody += aPart;
    mIsHeld = true;
  }
}

void ServerConnection::HandleBodyEnd()
{
  mIsBodyEnded = true;
  if (!mIsFinished && mObserver) {
    mIsBodyEndDelivered = true;
    mObserver->OnBodyEnd();
  }
}

void ServerConnection::HandleDrained()
{
  if (mObserver && !mIsFinished) {
    mObserver->OnWritable();
  }
}

void ServerConnection::HandleClosed(bool aIsComplete)
{
  mLink = nullptr;
  if (mObserver) {
    const std::unique_ptr<RequestObserver> observer = std::move(mObserver);
    observer->OnClosed(aIsComplete);
  }
}

} // namespace auburnmux::http::internal
