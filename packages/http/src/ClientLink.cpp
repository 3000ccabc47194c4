#include "http/src/ClientConnection.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>
#include <utility>

namespace auburnmux::http::internal {

namespace {

// Reads of one connection in one turn of the loop.
constexpr int kTurnReads = 4;

constexpr int kFirstFinalStatus = 200;

// Bytes of interim responses, and of responses to other requests, that are
// skipped while a response is waited for.
constexpr std::size_t kMaxSkipped = std::size_t{ 1 } << 20U;

/** \returns the head of \a aRequest as it goes on the wire. */
std::string WriteHead(const ClientRequest& aRequest)
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

/** \returns the idle time that a Keep-Alive field states, in whole seconds. */
std::optional<base::Duration> StatedIdleTime(const Headers& aHeaders)
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

ClientLink::ClientLink(Loop& aLoop, Owner& aOwner, Endpoint aEndpoint,
                       const ClientOptions& aOptions)
  : mLoop(aLoop)
  , mOwner(aOwner)
  , mEndpoint(std::move(aEndpoint))
  , mOptions(aOptions)
  , mStream(aLoop, *this)
  , mIdleLimit(std::min(aOptions.mMaxIdle, aOptions.mUnstatedIdle))
{
}

ClientLink::~ClientLink()
{
  StopConnectTimer();
}

bool ClientLink::Connect(base::Duration aTimeout)
{
  const SilenceLimits limits{ mOptions.mUnacknowledged, mOptions.mProbeAfter };
  if (!mStream.Connect(mEndpoint, mOptions.mSource, limits)) {
    return false;
  }
  mConnectBegin = mLoop.Now();
  mConnectTimer = mLoop.After(aTimeout, [this] {
    mConnectTimer.reset();
    Fail(FailureKind::ConnectTimeout);
  });
  return true;
}

void ClientLink::StopConnectTimer()
{
  if (mConnectTimer) {
    mLoop.Cancel(*mConnectTimer);
    mConnectTimer.reset();
  }
}

void ClientLink::Start(const std::shared_ptr<ClientConnection>& aExchange)
{
  assert(!mExchange);
  mExchange = aExchange;
  mExchange->Attach(shared_from_this());
  mSkipped = 0;
  BeginResponse();
  mStream.MarkUnsent();
  mStream.Queue(WriteHead(aExchange->Request()));
  if (mIsConnected) {
    mExchange->HandleReused(mLoop.Now() - mIdleSince);
    FlushSoon();
  }
}

bool ClientLink::IsUsable(base::TimePoint aNow, base::Duration aMaxIdle) const
{
  return mStream.IsOpen() && !mExchange &&
         aNow - mIdleSince < std::min(mIdleLimit, aMaxIdle);
}

std::shared_ptr<ClientConnection> ClientLink::Close()
{
  const auto self = shared_from_this();
  StopConnectTimer();
  if (mStream.IsOpen()) {
    mStream.CloseDiscarding();
    mOwner.OnLinkClosed(*this);
  }
  return std::exchange(mExchange, nullptr);
}

void ClientLink::Fail(FailureKind aKind)
{
  const auto self = shared_from_this();
  if (const auto exchange = Close()) {
    exchange->HandleFailure(aKind);
  }
}

void ClientLink::OnReady(SocketReadiness aReadiness)
{
  const auto self = shared_from_this();
  if (aReadiness.mIsHungUp) {
    mStream.NoteHangUp();
  }
  if (!mIsConnected) {
    HandleConnected();
  } else if (aReadiness.mIsWritable && mStream.Pending() > 0) {
    FlushNow();
  }
  if (aReadiness.mIsReadable && mStream.IsOpen()) {
    mHasUnread = true;
    Process();
  }
}

void ClientLink::HandleConnected()
{
  if (!mStream.IsConnected()) {
    Fail(FailureKind::ConnectRefused);
    return;
  }
  StopConnectTimer();
  mIsConnected = true;
  if (mExchange) {
    mExchange->HandleConnected(mLoop.Now() - mConnectBegin);
  }
  FlushNow();
}

void ClientLink::FlushSoon()
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

void ClientLink::FlushNow()
{
  const bool isSound = mStream.Flush();
  if (mExchange && mStream.HasSent()) {
    mExchange->HandleSent();
  }
  if (!isSound) {
    // A response may have come before the connection broke.
    mHasUnread = true;
    Process();
    if (mStream.IsOpen()) {
      Fail(FailureKind::Reset);
    }
  } else if (mExchange && mStream.Pending() == 0) {
    const auto exchange = mExchange;
    exchange->HandleWritable();
  }
}

void ClientLink::ReadSoon()
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

void ClientLink::Process()
{
  const auto self = shared_from_this();
  for (int i = 0;; ++i) {
    while (MayParse() && ParseInput()) {
    }
    if (!mStream.IsOpen() || !mHasUnread || (mExchange && !MayParse())) {
      return;
    }
    if (i == kTurnReads) {
      ReadSoon();
      return;
    }
    ReadInput();
  }
}

bool ClientLink::MayParse() const
{
  return mExchange && !mExchange->IsPaused();
}

void ClientLink::ReadInput()
{
  mIn.erase(0, mInStart);
  mInStart = 0;
  const TcpStream::ReadResult result = mStream.Read(mIn);
  mHasUnread = result == TcpStream::ReadResult::Data;
  if (!mExchange && !mIn.empty()) {
    Close(); // bytes that no request asked for
  } else if (result == TcpStream::ReadResult::End) {
    HandleEnd();
  } else if (result == TcpStream::ReadResult::Broken) {
    Fail(mHasHead ? FailureKind::Truncated : FailureKind::Reset);
  }
}

bool ClientLink::ParseInput()
{
  const std::string_view bytes = std::string_view(mIn).substr(mInStart);
  const ReadStep step = mReader->Read(bytes, *this);
  mInStart += step.mConsumed;
  if (!mExchange) {
    return false; // cancelled by the observer
  }
  if (step.mState == ReadState::HeadDone) {
    HandleHead();
  }
  if (mExchange && IsSkipping()) {
    mSkipped += step.mConsumed;
    if (mSkipped > kMaxSkipped) {
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
    case ReadState::Malformed:
      Fail(mHasHead ? FailureKind::Truncated : FailureKind::Malformed);
      return false;
  }
  return false;
}

void ClientLink::BeginResponse()
{
  mReader = std::make_unique<ResponseReader>(
    mOptions.mMaxResponseHead, mExchange->Request().mMethod == "HEAD");
  mIsInterim = false;
  mIsForeign = false;
  mHasHead = false;
}

void ClientLink::HandleHead()
{
  const ResponseHead head = mReader->TakeHead();
  mIsInterim = head.mStatus < kFirstFinalStatus;
  if (mIsInterim) {
    return;
  }
  mHasHead = true;
  if (const auto idle = StatedIdleTime(head.mHeaders)) {
    mIdleLimit = *idle - mOptions.mKeepAliveMargin;
  }
  const auto& isOwn = mExchange->Request().mIsOwnResponse;
  mIsForeign = isOwn && !isOwn(head);
  mIsSuspect = mIsSuspect || mIsForeign;
  if (!mIsForeign) {
    const auto exchange = mExchange;
    exchange->HandleHead(head);
  }
}

void ClientLink::OnBodyPart(std::string_view aPart)
{
  if (mExchange && !mIsForeign) {
    const auto exchange = mExchange;
    exchange->HandleBody(aPart);
  }
}

void ClientLink::HandleEnd()
{
  if (!mExchange) {
    Close();
    return;
  }
  if (mHasHead && !mIsForeign && mReader->EndsWithConnection() &&
      mReader->ReadEnd() == ReadState::Complete) {
    const auto exchange = Close();
    exchange->HandleEnd();
    return;
  }
  Fail(mHasHead && !mIsForeign ? FailureKind::Truncated : FailureKind::Reset);
}

void ClientLink::CompleteResponse()
{
  if (IsSkipping()) {
    BeginResponse();
    return;
  }
  // A connection in the middle of a request, or with bytes behind the
  // response, can't carry another exchange.
  const bool isReusable = mReader->KeepsAlive() && !mIsSuspect &&
                          mExchange->IsRequestComplete() &&
                          mStream.Pending() == 0 && mInStart == mIn.size() &&
                          mIdleLimit > base::Duration::zero();
  const auto self = shared_from_this();
  std::shared_ptr<ClientConnection> exchange;
  if (isReusable) {
    exchange = std::exchange(mExchange, nullptr);
    mReader.reset();
    mIn = {};
    mInStart = 0;
    mIdleSince = mLoop.Now();
    mOwner.OnIdle(self);
  } else {
    exchange = Close();
  }
  exchange->HandleEnd();
}

} // namespace auburnmux::http::internal
