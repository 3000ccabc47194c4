#include "http/src/ClientConnection.h"

#include "http/src/Internal.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <libwebsockets.h>
#include <sys/socket.h>
#include <utility>

namespace auburnmux::http::internal {

namespace {

constexpr std::size_t kMaxWriteBytes = 65536;

bool IsClosedByPeer(lws* aWsi)
{
  char buf = 0;
  const ssize_t n =
    recv(lws_get_socket_fd(aWsi), &buf, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

ClientConnection::ClientConnection(Loop& aLoop, const ClientRequest& aRequest,
                                   std::shared_ptr<ResponseObserver> aObserver,
                                   OnRelease aOnRelease,
                                   std::weak_ptr<const void> aOwner)
  : mLoop(aLoop)
  , mRequest(aRequest)
  , mObserver(std::move(aObserver))
  , mOnRelease(std::move(aOnRelease))
  , mOwner(std::move(aOwner))
  , mOut(kWriteMargin, '\0')
  , mOutStart(kWriteMargin)
{
  if (mRequest.mContentLength) {
    mUnsentBody = mRequest.mContentLength->Count();
  }
  mConnectTimer = mLoop.After(mRequest.mConnectTimeout, [this] {
    mConnectTimer.reset();
    const auto self = mSelf;
    CloseConnection();
    Fail(FailureKind::ConnectTimeout);
  });
}

ClientConnection::~ClientConnection()
{
  StopConnectTimer();
}

void ClientConnection::KeepAlive(std::shared_ptr<ClientConnection> aSelf)
{
  mSelf = std::move(aSelf);
}

void ClientConnection::Attach(lws* aWsi)
{
  mIsStarting = false;
  mWsi = aWsi;
  if (aWsi == nullptr) {
    FailLater(FailureKind::ConnectRefused);
  }
}

void ClientConnection::FailLater(FailureKind aKind)
{
  if (mSelf) {
    mLoop.After(base::Duration::zero(),
                [self = mSelf, aKind] { self->Fail(aKind); });
  }
}

base::ByteCount ClientConnection::PendingBytes() const
{
  return base::ByteCount(mOut.size() - mOutStart);
}

void ClientConnection::SendBody(std::string_view aPart)
{
  assert(aPart.size() <= mUnsentBody);
  mUnsentBody -= aPart.size();
  mOut += aPart;
  if (mWsi != nullptr) {
    lws_callback_on_writable(mWsi);
  }
}

void ClientConnection::PauseReading(bool aIsPaused)
{
  mIsPaused = aIsPaused;
  if (mWsi == nullptr) {
    return;
  }
  lws_rx_flow_control(mWsi, aIsPaused ? 0 : 1);
  if (!aIsPaused && mHasUnread) {
    mLoop.After(base::Duration::zero(), [self = mSelf] {
      if (self && self->mWsi != nullptr &&
          self->HandleReadable(self->mWsi) < 0) {
        self->CloseConnection();
        self->Fail(FailureKind::Truncated);
      }
    });
  }
}

void ClientConnection::Cancel()
{
  const auto self = mSelf;
  mObserver.reset();
  StopConnectTimer();
  CloseConnection();
  if (mIsStarting) {
    ReleaseConnection(Release::Closed);
  }
}

void ClientConnection::CloseConnection()
{
  if (mWsi != nullptr) {
    lws_set_timeout(mWsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
}

void ClientConnection::StopConnectTimer()
{
  if (mConnectTimer) {
    mLoop.Cancel(*mConnectTimer);
    mConnectTimer.reset();
  }
}

void ClientConnection::ForgetIfOrphaned()
{
  if (mOwner.expired()) {
    mObserver.reset();
    mOnRelease = nullptr;
  }
}

int ClientConnection::HandleHandshake(lws* aWsi, unsigned char** aPosition,
                                      std::size_t aRoom)
{
  StopConnectTimer();
  if (!mObserver) {
    return -1;
  }
  std::string fields;
  for (const Header& it : mRequest.mHeaders.Fields()) {
    const bool isSetByClient = it.mName == "host" || it.mName == "user-agent" ||
                               it.mName == "content-length" ||
                               it.mName == "origin";
    if (!IsHopByHop(it.mName) && !isSetByClient) {
      AppendField(fields, it);
    }
  }
  if (mRequest.mContentLength) {
    AppendField(fields, { "content-length",
                          std::to_string(mRequest.mContentLength->Count()) });
  }
  if (fields.size() >= aRoom) {
    return -1;
  }
  std::memcpy(*aPosition, fields.data(), fields.size());
  *aPosition += fields.size();
  mMayHaveReached = true;
  const bool hasBody =
    mRequest.mContentLength && mRequest.mContentLength->Count() > 0;
  if (hasBody) {
    lws_client_http_body_pending(aWsi, 1);
    lws_callback_on_writable(aWsi);
  }
  return 0;
}

int ClientConnection::HandleHead(lws* aWsi)
{
  if (!mObserver) {
    return -1;
  }
  ResponseHead head;
  head.mStatus = static_cast<int>(lws_http_client_http_response(aWsi));
  head.mHeaders = ReadHeaders(aWsi);
  const BodyLength length = ReadBodyLength(aWsi);
  const bool hasNoBody =
    head.mStatus == 204 || head.mStatus == 304 || mRequest.mMethod == "HEAD";
  // A body that only the end of the connection delimits can't be told from a
  // truncated one.
  if (length.mIsInvalid ||
      (!length.mBytes && !length.mIsChunked && !hasNoBody)) {
    Fail(FailureKind::Malformed);
    return -1;
  }
  if (length.mBytes) {
    head.mContentLength = base::ByteCount(*length.mBytes);
  }
  if (!length.mIsChunked) {
    mBodyLeft = hasNoBody ? 0 : length.mBytes.value_or(0);
  }
  mHasHead = true;
  const auto observer = mObserver;
  observer->OnHead(head);
  return 0;
}

int ClientConnection::HandleReadable(lws* aWsi)
{
  if (mIsPaused) {
    mHasUnread = true;
    return 0;
  }
  mHasUnread = false;
  std::array<char, kTurnBytes + LWS_PRE> buf;
  char* data = buf.data() + LWS_PRE;
  int n = static_cast<int>(kTurnBytes);
  return lws_http_client_read(aWsi, &data, &n) < 0 ? -1 : 0;
}

void ClientConnection::HandleBody(std::string_view aPart)
{
  if (mBodyLeft) {
    *mBodyLeft -= std::min(*mBodyLeft, aPart.size());
  }
  if (mObserver) {
    const auto observer = mObserver;
    observer->OnBody(aPart);
  }
}

int ClientConnection::HandleWritable(lws* aWsi)
{
  if (mOut.size() == mOutStart) {
    return 0;
  }
  const std::size_t n = std::min(mOut.size() - mOutStart, kMaxWriteBytes);
  const bool isLast = mUnsentBody == 0 && mOutStart + n == mOut.size();
  auto* data = reinterpret_cast<unsigned char*>(mOut.data()) + mOutStart;
  if (isLast) {
    lws_client_http_body_pending(aWsi, 0);
  }
  if (lws_write(aWsi, data, n, isLast ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) <
      0) {
    return -1;
  }
  mOutStart += n;
  if (mOutStart < mOut.size()) {
    lws_callback_on_writable(aWsi);
    return 0;
  }
  mOut.resize(kWriteMargin);
  mOutStart = kWriteMargin;
  if (!isLast && mObserver) {
    const auto observer = mObserver;
    observer->OnWritable();
  }
  return 0;
}

int ClientConnection::HandleCompleted(lws* aWsi)
{
  const auto self = mSelf;
  // libwebsockets reports a chunked response as complete, too, when the other
  // side closes before the last chunk. A closed connection can't tell the two
  // apart, so it counts as truncated.
  const bool isTruncated =
    mBodyLeft ? *mBodyLeft > 0 : mHasHead && IsClosedByPeer(aWsi);
  if (isTruncated) {
    HandleBroken();
    return 0;
  }
  // A response that came before the whole request was sent leaves the
  // connection in the middle of a body, of which libwebsockets may hold a part.
  const bool isReusable = mUnsentBody == 0 && mOut.size() == mOutStart &&
                          lws_partial_buffered(aWsi) == 0;
  const auto observer = std::exchange(mObserver, nullptr);
  ReleaseConnection(isReusable ? Release::Idle : Release::Closed);
  if (observer) {
    observer->OnEnd();
  }
  return isReusable ? 0 : -1;
}

void ClientConnection::HandleBroken()
{
  const auto self = mSelf;
  StopConnectTimer();
  if (mIsStarting) {
    return; // Attach(nullptr) reports it after Send() has returned
  }
  ReleaseConnection(Release::Closed);
  if (mHasHead) {
    Fail(FailureKind::Truncated);
  } else {
    Fail(mMayHaveReached ? FailureKind::Reset : FailureKind::ConnectRefused);
  }
}

void ClientConnection::ReleaseConnection(Release aRelease)
{
  mWsi = nullptr;
  if (mOnRelease) {
    const OnRelease onRelease = std::exchange(mOnRelease, nullptr);
    onRelease(aRelease);
  }
  mSelf.reset();
}

void ClientConnection::Fail(FailureKind aKind)
{
  ForgetIfOrphaned();
  StopConnectTimer();
  const auto self = mSelf;
  if (mWsi == nullptr) {
    ReleaseConnection(Release::Closed);
  }
  if (const auto observer = std::exchange(mObserver, nullptr)) {
    observer->OnFailure({ aKind, mMayHaveReached });
  }
}

} // namespace auburnmux::http::internal
