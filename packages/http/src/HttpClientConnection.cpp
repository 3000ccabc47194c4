#include "http/src/HttpClientConnection.h"

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <cstdlib>
#include <utility>

namespace auburnmux::http::internal {

namespace {

// Maximum reads from one connection in one iteration of the event loop.
constexpr int kMaxReadsPerIteration = 4;

constexpr int kFirstFinalStatus = 200;

// Maximum bytes of interim responses and of responses to other requests that
// are discarded while waiting for a response.
constexpr std::size_t kMaxSkippedBytes = std::size_t{ 1 } << 20U;

/** \returns the head of \a aRequest in HTTP/1.1 wire format. */
std::string SerializeHead(const ClientRequest& aRequest)
{
  std::string out = aRequest.mMethod + ' ' + aRequest.mTarget + " HTTP/1.1\r\n";
  if (!aRequest.mHeaders.Find("host")) {
    AppendField(out, { "host", aRequest.mEndpoint.mAddress });
  }
  for (const Header& it : aRequest.mHeaders.Fields()) {
    if (!IsHopByHop(it.mName) && it.mName != "content-length") {
      AppendField(out, it);
    }
  }
  if (aRequest.mContentLength) {
    AppendField(out, { "content-length",
                       std::to_string(aRequest.mContentLength->Count()) });
  } else if (aRequest.mIsChunked) {
    AppendField(out, { "transfer-encoding", "chunked" });
  }
  return out += "\r\n";
}

/** \returns the timeout of the Keep-Alive field, which is in whole seconds. */
std::optional<base::Duration> ParseKeepAliveTimeout(const Headers& aHeaders)
{
  constexpr std::string_view kParameter = "timeout=";
  const auto field = aHeaders.Find("keep-alive");
  const std::size_t n =
    field ? field->find(kParameter) : std::string_view::npos;
  if (n == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string digits(field->substr(n + kParameter.size()));
  return std::chrono::seconds(std::strtol(digits.c_str(), nullptr, 10));
}

} // namespace

HttpClientConnection::HttpClientConnection(Loop& aLoop, Owner& aOwner,
                                           Endpoint aEndpoint,
                                           const ClientOptions& aOptions)
  : mLoop(aLoop)
  , mOwner(aOwner)
  , mEndpoint(std::move(aEndpoint))
  , mOptions(aOptions)
  , mStream(aLoop, *this, aOptions.mAccount, buffering::Receiver::Upstream)
  , mWindow(aOptions.mUnacknowledgedTimeout)
  , mIdleLimit(std::min(aOptions.mMaxIdle, aOptions.mDefaultMaxIdle))
{
}

HttpClientConnection::~HttpClientConnection()
{
  StopConnectTimer();
}

bool HttpClientConnection::Connect(base::Duration aTimeout)
{
  const SilenceLimits limits{ mOptions.mUnacknowledgedTimeout,
                              mOptions.mProbeAfter, mOptions.mMaxProbes };
  if (!mStream.Connect(mEndpoint, mOptions.mSource, limits)) {
    return false;
  }
  mConnectStart = mLoop.Now();
  mConnectTimer = mLoop.After(aTimeout, [this] {
    mConnectTimer.reset();
    const auto self = shared_from_this();
    ReportConnected(ConnectOutcome::Failed);
    Fail(FailureKind::ConnectTimeout);
  });
  return true;
}

void HttpClientConnection::StopConnectTimer()
{
  if (mConnectTimer) {
    mLoop.Cancel(*mConnectTimer);
    mConnectTimer.reset();
  }
}

void HttpClientConnection::Start(
  const std::shared_ptr<ClientExchangeImpl>& aExchange)
{
  assert(!mExchange);
  ++mRequests;
  mExchange = aExchange;
  mExchange->Attach(shared_from_this());
  mSkippedBytes = 0;
  BeginResponse();
  mStream.ResetHasSent();
  mStream.Queue(SerializeHead(aExchange->Request()));
  if (mIsConnected) {
    mExchange->HandleReused(mLoop.Now() - mIdleSince);
    FlushSoon();
  }
}

bool HttpClientConnection::IsUsable(base::TimePoint aNow,
                                    base::Duration aMaxIdle) const
{
  return mStream.IsOpen() && !mExchange &&
         aNow - mIdleSince < std::min(mIdleLimit, aMaxIdle);
}

void HttpClientConnection::CheckPeer()
{
  const auto progress =
    mExchange && mIsConnected ? mStream.Progress() : std::nullopt;
  if (!progress) {
    return;
  }
  const bool wasClosed = mWindow.IsClosed();
  mWindow.Update(mLoop.Now(), *progress);
  if (mWindow.IsPeerSilent()) {
    Fail(mHasHead ? FailureKind::Truncated : FailureKind::Reset);
  } else if (mWindow.IsClosed() != wasClosed) {
    mStream.SetUnacknowledgedTimeout(
      mWindow.IsClosed() ? base::Duration() : mOptions.mUnacknowledgedTimeout);
  }
}

std::shared_ptr<ClientExchangeImpl> HttpClientConnection::Close()
{
  const auto self = shared_from_this();
  StopConnectTimer();
  mOnConnected = nullptr;
  if (mStream.IsOpen()) {
    mStream.CloseDiscardingUnacknowledged();
    mOwner.OnConnectionClosed(*this);
  }
  return std::exchange(mExchange, nullptr);
}

void HttpClientConnection::Fail(FailureKind aKind)
{
  const auto self = shared_from_this();
  if (const auto exchange = Close()) {
    exchange->HandleFailure(aKind);
  }
}

void HttpClientConnection::OnReady(SocketReadiness aReadiness)
{
  const auto self = shared_from_this();
  if (aReadiness.mIsHungUp) {
    mStream.MarkHungUp();
  }
  if (!mIsConnected) {
    HandleConnected();
  } else if (aReadiness.mIsWritable && mStream.PendingBytes() > 0) {
    FlushNow();
  }
  if (aReadiness.mIsReadable && mStream.IsOpen()) {
    mMayHaveUnread = true;
    Process();
  }
}

void HttpClientConnection::HandleConnected()
{
  if (const int error = mStream.ConnectError(); error != 0) {
    const bool isRefused = error == ECONNREFUSED;
    ReportConnected(isRefused ? ConnectOutcome::Refused
                              : ConnectOutcome::Failed);
    Fail(isRefused ? FailureKind::ConnectRefused : FailureKind::ConnectFailed);
    return;
  }
  StopConnectTimer();
  mIsConnected = true;
  if (mExchange) {
    mExchange->HandleConnected(mLoop.Now() - mConnectStart);
  } else {
    mIdleSince = mLoop.Now();
    mOwner.OnIdle(shared_from_this());
  }
  ReportConnected(ConnectOutcome::Connected);
  FlushNow();
}

void HttpClientConnection::ReportConnected(ConnectOutcome aOutcome)
{
  if (const auto done = std::exchange(mOnConnected, nullptr)) {
    done(aOutcome);
  }
}

void HttpClientConnection::FlushSoon()
{
  if (!mIsFlushPosted && mIsConnected) {
    mIsFlushPosted = true;
    mLoop.Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->mIsFlushPosted = false;
        if (self->mStream.IsOpen()) {
          self->FlushNow();
        }
      }
    });
  }
}

void HttpClientConnection::FlushNow()
{
  const bool isFlushed = mStream.Flush();
  if (mExchange && mStream.HasSent()) {
    mExchange->HandleSent();
  }
  if (!isFlushed) {
    // A response may have been received before the connection broke.
    mMayHaveUnread = true;
    Process();
    if (mStream.IsOpen()) {
      Fail(mHasHead ? FailureKind::Truncated : FailureKind::Reset);
    }
  } else if (mExchange && mStream.PendingBytes() == 0) {
    const auto exchange = mExchange;
    exchange->HandleWritable();
  }
}

void HttpClientConnection::ReadSoon()
{
  if (!mIsReadPosted) {
    mIsReadPosted = true;
    mLoop.Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->mIsReadPosted = false;
        if (self->mStream.IsOpen()) {
          self->Process();
        }
      }
    });
  }
}

void HttpClientConnection::Process()
{
  const auto self = shared_from_this();
  for (int i = 0;; ++i) {
    while (MayParse() && ParseInput()) {
    }
    if (!mStream.IsOpen() || !mMayHaveUnread || (mExchange && !MayParse())) {
      return;
    }
    if (i == kMaxReadsPerIteration) {
      ReadSoon();
      return;
    }
    ReadInput();
  }
}

bool HttpClientConnection::MayParse() const
{
  return mExchange && !mExchange->IsPaused();
}

void HttpClientConnection::ReadInput()
{
  mInput.erase(0, mInputStart);
  mInputStart = 0;
  const TcpStream::ReadResult result = mStream.Read(mInput);
  mMayHaveUnread = result == TcpStream::ReadResult::Data;
  const bool isEnd = result == TcpStream::ReadResult::End ||
                     result == TcpStream::ReadResult::Broken;
  if (!mExchange && isEnd) {
    HandleIdleEnd();
  } else if (!mExchange && !mInput.empty()) {
    Close(); // unsolicited bytes on an idle connection
  } else if (result == TcpStream::ReadResult::End) {
    HandleEnd();
  } else if (result == TcpStream::ReadResult::Broken) {
    Fail(mHasHead ? FailureKind::Truncated : FailureKind::Reset);
  }
}

bool HttpClientConnection::ParseInput()
{
  const std::string_view bytes = std::string_view(mInput).substr(mInputStart);
  const ReadStep step = mReader->Read(bytes, *this);
  mInputStart += step.mConsumed;
  if (!mExchange) {
    return false; // cancelled by the observer
  }
  if (step.mState == ReadState::HeadDone) {
    HandleHead();
  }
  if (mExchange && IsSkipping()) {
    mSkippedBytes += step.mConsumed;
    if (mSkippedBytes > kMaxSkippedBytes) {
      Fail(FailureKind::Malformed);
      return false;
    }
  }
  switch (step.mState) {
    case ReadState::HeadDone:
      return true;
    case ReadState::Complete:
      CompleteResponse();
      return mExchange != nullptr;
    case ReadState::NeedsMore:
      return step.mConsumed > 0;
    case ReadState::HeadTooLong:
    case ReadState::UnknownCoding:
    case ReadState::Malformed:
      Fail(mHasHead ? FailureKind::Truncated : FailureKind::Malformed);
      return false;
  }
  return false;
}

void HttpClientConnection::BeginResponse()
{
  mReader = std::make_unique<ResponseReader>(
    mOptions.mMaxResponseHead, mExchange->Request().mMethod == "HEAD");
  mIsInterim = false;
  mIsForeign = false;
  mHasHead = false;
}

void HttpClientConnection::HandleHead()
{
  const ResponseHead head = mReader->TakeHead();
  mIsInterim = head.mStatus < kFirstFinalStatus;
  if (mIsInterim) {
    return;
  }
  mHasHead = true;
  const auto& ownerOf = mExchange->Request().mResponseOwner;
  const base::ResponseOwner owner =
    ownerOf ? ownerOf(head, mRequests == 1) : base::ResponseOwner::Request;
  if (owner == base::ResponseOwner::None) {
    Fail(FailureKind::Malformed);
    return;
  }
  mIsForeign = owner == base::ResponseOwner::EarlierRequest;
  mHasSeenForeignResponse = mHasSeenForeignResponse || mIsForeign;
  if (mIsForeign) {
    return;
  }
  if (const auto idle = ParseKeepAliveTimeout(head.mHeaders)) {
    mIdleLimit = *idle - mOptions.mKeepAliveMargin;
  }
  const auto exchange = mExchange;
  exchange->HandleHead(head);
}

void HttpClientConnection::OnBodyPart(std::string_view aPart)
{
  if (mExchange && !mIsForeign) {
    const auto exchange = mExchange;
    exchange->HandleBody(aPart);
  }
}

void HttpClientConnection::HandleEnd()
{
  if (mHasHead && !mIsForeign && IsRequestReceived() &&
      mReader->EndsWithConnection() &&
      mReader->ReadEnd() == ReadState::Complete) {
    const auto exchange = Close();
    exchange->HandleEnd();
    return;
  }
  Fail(mHasHead && !mIsForeign ? FailureKind::Truncated : FailureKind::Reset);
}

void HttpClientConnection::HandleIdleEnd()
{
  const auto self = shared_from_this();
  Close();
  mOwner.OnIdleClosed(mEndpoint);
}

bool HttpClientConnection::IsRequestReceived() const
{
  return mExchange->IsRequestComplete() && mStream.UnacknowledgedBytes() == 0;
}

void HttpClientConnection::CompleteResponse()
{
  if (IsSkipping()) {
    BeginResponse();
    return;
  }
  // A connection with a partly sent request, or with input after the end of
  // the response, can't carry another exchange.
  const bool isReusable =
    mReader->KeepsAlive() && !mHasSeenForeignResponse &&
    mExchange->IsRequestComplete() && mStream.PendingBytes() == 0 &&
    mInputStart == mInput.size() && mIdleLimit > base::Duration::zero();
  const auto self = shared_from_this();
  std::shared_ptr<ClientExchangeImpl> exchange;
  if (isReusable) {
    exchange = std::exchange(mExchange, nullptr);
    mReader.reset();
    mInput = {};
    mInputStart = 0;
    mIdleSince = mLoop.Now();
    mOwner.OnIdle(self);
  } else {
    exchange = Close();
  }
  exchange->HandleEnd();
}

} // namespace auburnmux::http::internal
