#include "http/src/ServerConnection.h"

#include "http/src/Internal.h"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <libwebsockets.h>
#include <utility>

namespace auburnmux::http::internal {

namespace {

// A refused upload is read to its end only up to this size; beyond it the
// connection is closed, which costs the caller less than sending the rest.
constexpr std::size_t kMaxDiscardBytes = std::size_t{ 1 } << 20U;

// Bytes handed to the socket in one turn of the loop.
constexpr std::size_t kMaxWriteBytes = 65536;

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
    case 409:
      return "Conflict";
    case 412:
      return "Precondition Failed";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

} // namespace

ServerConnection::ServerConnection(lws* aWsi, RequestHead aHead)
  : mWsi(aWsi)
  , mHead(std::move(aHead))
  , mOut(kWriteMargin, '\0')
  , mOutStart(kWriteMargin)
{
  mBodyLeft = mHead.mContentLength ? mHead.mContentLength->Count() : 0;
  mIsBodyEnded = mBodyLeft == 0;
}

base::ByteCount ServerConnection::PendingBytes() const
{
  return base::ByteCount(mOut.size() - mOutStart);
}

void ServerConnection::Observe(std::unique_ptr<RequestObserver> aObserver)
{
  mObserver = std::move(aObserver);
  DeliverEarlyEvents();
  mIsHeld = false;
  ApplyFlowControl();
}

void ServerConnection::DeliverEarlyEvents()
{
  if (!mEarlyBody.empty()) {
    const std::string body = std::exchange(mEarlyBody, {});
    mObserver->OnBody(body);
  }
  if (mIsBodyEnded && !mIsBodyEndDelivered) {
    mIsBodyEndDelivered = true;
    mObserver->OnBodyEnd();
  }
}

void ServerConnection::PauseReading(bool aIsPaused)
{
  mIsReadingPaused = aIsPaused;
  ApplyFlowControl();
}

void ServerConnection::ApplyFlowControl()
{
  const bool isStopped = mIsReadingPaused || mIsHeld;
  if (mWsi != nullptr && mIsStopped != isStopped) {
    mIsStopped = isStopped;
    lws_rx_flow_control(mWsi, isStopped ? 0 : 1);
  }
}

void ServerConnection::SendHead(const ResponseHead& aHead)
{
  assert(!mIsHeadSent);
  mIsHeadSent = true;
  if (mWsi == nullptr) {
    return;
  }
  mOut += "HTTP/1.1 " + std::to_string(aHead.mStatus) + ' ' +
          ReasonPhrase(aHead.mStatus) + "\r\n";
  for (const Header& it : aHead.mHeaders.Fields()) {
    if (!IsHopByHop(it.mName) && it.mName != "content-length") {
      AppendField(mOut, it);
    }
  }
  const bool hasNoBody = aHead.mStatus == 204 || aHead.mStatus == 304;
  if (aHead.mContentLength) {
    AppendField(mOut, { "content-length",
                        std::to_string(aHead.mContentLength->Count()) });
  } else if (!hasNoBody) {
    mIsChunked = true;
    AppendField(mOut, { "transfer-encoding", "chunked" });
  }
  if (mClosesAfter || !IsBodyDiscardable()) {
    mClosesAfter = true;
    AppendField(mOut, { "connection", "close" });
  }
  mOut += "\r\n";
  RequestWritable();
}

bool ServerConnection::IsBodyDiscardable() const
{
  return mIsBodyEnded || mBodyLeft <= kMaxDiscardBytes;
}

void ServerConnection::AppendChunk(std::string_view aPart)
{
  char buf[24];
  const int n = std::snprintf(buf, sizeof buf, "%zx\r\n", aPart.size());
  mOut.append(buf, static_cast<std::size_t>(n));
  mOut += aPart;
  mOut += "\r\n";
}

void ServerConnection::SendBody(std::string_view aPart)
{
  assert(mIsHeadSent && !mIsFinished);
  if (mWsi == nullptr || aPart.empty() || mHead.mMethod == "HEAD") {
    return;
  }
  if (mIsChunked) {
    AppendChunk(aPart);
  } else {
    mOut += aPart;
  }
  RequestWritable();
}

void ServerConnection::Finish()
{
  assert(mIsHeadSent && !mIsFinished);
  if (mWsi == nullptr) {
    return;
  }
  mIsFinished = true;
  mClosesAfter = mClosesAfter || (mIsStarted && !mIsBodyEnded);
  if (mIsChunked && mHead.mMethod != "HEAD") {
    mOut += "0\r\n\r\n";
  }
  PauseReading(false); // the rest of the body is read and discarded
  RequestWritable();
}

void ServerConnection::Abort()
{
  if (mWsi != nullptr && !mIsAborted) {
    mIsAborted = true;
    lws_set_timeout(mWsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
}

void ServerConnection::RequestWritable()
{
  lws_callback_on_writable(mWsi);
}

void ServerConnection::HandleBody(std::string_view aPart)
{
  mBodyLeft -= std::min(mBodyLeft, aPart.size());
  if (mIsFinished || mIsAborted) {
    return;
  }
  if (mObserver) {
    mObserver->OnBody(aPart);
  } else {
    mEarlyBody += aPart;
    mIsHeld = true;
    ApplyFlowControl();
  }
}

void ServerConnection::HandleBodyEnd()
{
  if (mIsBodyEnded) {
    return;
  }
  mIsBodyEnded = true;
  mBodyLeft = 0;
  if (mIsFinished) {
    RequestWritable();
  } else if (mObserver && !mIsAborted) {
    mIsBodyEndDelivered = true;
    mObserver->OnBodyEnd();
  }
}

bool ServerConnection::WritePending()
{
  const std::size_t n = std::min(mOut.size() - mOutStart, kMaxWriteBytes);
  auto* data = reinterpret_cast<unsigned char*>(mOut.data()) + mOutStart;
  if (lws_write(mWsi, data, n, LWS_WRITE_HTTP) < 0) {
    return false;
  }
  mIsStarted = true;
  mOutStart += n;
  if (mOutStart == mOut.size()) {
    mOut.resize(kWriteMargin);
    mOutStart = kWriteMargin;
  } else if (mOutStart > 4 * kMaxWriteBytes) {
    mOut.erase(kWriteMargin, mOutStart - kWriteMargin);
    mOutStart = kWriteMargin;
  }
  return true;
}

int ServerConnection::HandleWritable()
{
  if (mIsAborted) {
    return -1;
  }
  // A caller that has its answer may send its next request, which
  // libwebsockets can't tell from the rest of this body. A short rest is read
  // before the answer is written.
  if (mIsFinished && !mIsBodyEnded && !mIsStarted && !mClosesAfter) {
    return 0;
  }
  if (mOut.size() > mOutStart && !WritePending()) {
    return -1;
  }
  if (mOut.size() > mOutStart) {
    RequestWritable();
    return 0;
  }
  if (mIsFinished) {
    return Complete();
  }
  if (mObserver) {
    mObserver->OnWritable();
  }
  return 0;
}

int ServerConnection::Complete()
{
  mIsWritten = true;
  if (mClosesAfter) {
    return -1;
  }
  if (!mIsBodyEnded) {
    return 0; // HandleBodyEnd() asks for the completion
  }
  lws* wsi = mWsi;
  HandleClosed();
  return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
}

void ServerConnection::HandleClosed()
{
  if (mWsi == nullptr) {
    return;
  }
  mWsi = nullptr;
  if (mObserver) {
    const std::unique_ptr<RequestObserver> observer = std::move(mObserver);
    observer->OnClosed(mIsWritten);
  }
}

} // namespace auburnmux::http::internal
