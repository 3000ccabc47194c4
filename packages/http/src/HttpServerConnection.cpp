#include "http/src/HttpServerConnection.h"

#include <cassert>
#include <utility>

namespace auburnmux::http::internal {

namespace {

// Maximum reads from one connection in one iteration of the event loop.
constexpr int kMaxReadsPerIteration = 4;

// Maximum duration of a lingering close, which discards input until the peer
// closes. Closing with unread input would reset the connection, and the peer
// could lose the response.
constexpr base::Duration kLingerTimeout = std::chrono::seconds(2);

} // namespace

HttpServerConnection::HttpServerConnection(Owner& aOwner, int aDescriptor,
                                           std::string aClientAddress)
  : mOwner(aOwner)
  , mStream(aOwner.EventLoop(), *this, aOwner.Account(),
            buffering::Receiver::Client)
  , mDescriptor(aDescriptor)
  , mClientAddress(std::move(aClientAddress))
  , mPhaseStart(aOwner.EventLoop().Now())
{
  mStream.Adopt(aDescriptor);
}

void HttpServerConnection::CheckTimeouts(base::TimePoint aNow)
{
  const base::Duration age = aNow - mPhaseStart;
  if (mIsLingering) {
    if (age > kLingerTimeout) {
      Close();
    }
  } else if (mExchange) {
    return;
  } else if (mIsReadingHead && age > mOwner.Limits().mHeadTimeout) {
    RefuseHead(408, "the request head did not arrive in time");
  } else if (!mIsReadingHead && age > mOwner.Limits().mIdleTimeout) {
    BeginLingeringClose();
  }
}

void HttpServerConnection::CloseIfIdle()
{
  if (!mExchange && !mIsReadingHead && !mIsLingering) {
    BeginLingeringClose();
  }
}

void HttpServerConnection::Close()
{
  if (!mStream.IsOpen()) {
    return;
  }
  const auto self = shared_from_this();
  mStream.Close();
  if (const auto exchange = std::exchange(mExchange, nullptr)) {
    exchange->HandleClosed(false);
  }
  mOwner.OnConnectionClosed(*this);
}

void HttpServerConnection::CloseDiscardingUnread()
{
  if (mStream.IsOpen()) {
    mStream.DiscardOnClose();
    Close();
  }
}

std::optional<buffering::HeldClient> HttpServerConnection::SampleProgress(
  base::TimePoint aNow)
{
  if (!mStream.IsOpen() || mStream.PendingBytes() == 0) {
    mProgress.Reset();
    return std::nullopt;
  }
  return buffering::HeldClient{ base::ByteCount(mStream.PendingBytes()),
                                mProgress.OnSample(
                                  aNow, mStream.AcknowledgedBytes()) };
}

void HttpServerConnection::OnReady(SocketReadiness aReadiness)
{
  const auto self = shared_from_this();
  if (aReadiness.mIsHungUp) {
    Close(); // the caller disconnected and needs no response
    return;
  }
  if (aReadiness.mIsReadable) {
    mMayHaveUnread = true;
  }
  if (aReadiness.mIsWritable && mStream.PendingBytes() > 0) {
    FlushNow();
  }
  if (mStream.IsOpen() && aReadiness.mIsReadable) {
    Process();
  }
}

bool HttpServerConnection::MayRead() const
{
  if (mIsLingering || !mExchange) {
    return true;
  }
  return !mExchange->IsBodyEnded() && !mExchange->IsPaused();
}

void HttpServerConnection::Process()
{
  for (int i = 0;; ++i) {
    while (mStream.IsOpen() && MayRead() && ParseInput()) {
    }
    if (!mStream.IsOpen() || !MayRead() || !mMayHaveUnread) {
      return;
    }
    if (i == kMaxReadsPerIteration) {
      ReadSoon();
      return;
    }
    ReadInput();
  }
}

void HttpServerConnection::ReadInput()
{
  mInput.erase(0, mInputStart);
  mInputStart = 0;
  const TcpStream::ReadResult result = mStream.Read(mInput);
  if (result == TcpStream::ReadResult::Blocked) {
    mMayHaveUnread = false;
  } else if (result != TcpStream::ReadResult::Data) {
    Close();
  }
}

bool HttpServerConnection::ParseInput()
{
  if (mInputStart == mInput.size()) {
    return false;
  }
  if (mIsLingering) {
    mInputStart = mInput.size();
    return true;
  }
  if (!mExchange && !mIsReadingHead) {
    mIsReadingHead = true;
    mPhaseStart = mOwner.EventLoop().Now();
    mReader = std::make_unique<RequestReader>(mOwner.Limits().mMaxHead);
  }
  const std::string_view bytes = std::string_view(mInput).substr(mInputStart);
  const ReadStep step = mReader->Read(bytes, *this);
  mInputStart += step.mConsumed;
  if (!mStream.IsOpen() || mIsLingering) {
    return false;
  }
  switch (step.mState) {
    case ReadState::HeadDone:
      BeginExchange();
      return true;
    case ReadState::Complete:
      if (mExchange && !mExchange->IsBodyEnded()) {
        mExchange->HandleBodyEnd();
        FlushSoon();
      }
      return true;
    case ReadState::NeedsMore:
      return step.mConsumed > 0;
    case ReadState::HeadTooLong:
      RefuseHead(431, "the request head is too long");
      return false;
    case ReadState::Malformed:
      if (mExchange) {
        Close();
      } else {
        RefuseHead(400, "malformed request head");
      }
      return false;
  }
  return false;
}

void HttpServerConnection::BeginExchange()
{
  mIsReadingHead = false;
  mBodyBytes = 0;
  mMaxBody = mOwner.Limits().mMaxBody;
  mKeepsAlive = mReader->KeepsAlive();
  RequestHead head = mReader->TakeHead();
  head.mClientAddress = mClientAddress;
  const bool hasBody = head.mIsChunked || (head.mContentLength &&
                                           head.mContentLength->Count() > 0);
  const bool isTooLarge =
    head.mContentLength && *head.mContentLength > mMaxBody;
  const bool hasHost = head.mHeaders.Find("host").has_value();
  const auto expect = head.mHeaders.Find("expect");
  const bool isExpecting = hasBody && expect && *expect == "100-continue";
  head.mHeaders.Remove("expect");
  mExchange = std::make_shared<ServerExchangeImpl>(*this, std::move(head));
  if (mOwner.ClosesAfterResponses() || !mKeepsAlive) {
    mExchange->CloseAfterResponse();
  }
  const auto exchange = mExchange;
  if (!hasHost || isTooLarge) {
    Refuse(hasHost ? 413 : 400, hasHost ? "the request body is too large"
                                        : "malformed request head");
    return;
  }
  if (isExpecting) {
    mStream.Queue("HTTP/1.1 100 Continue\r\n\r\n");
    FlushSoon();
  }
  mOwner.OnRequest(exchange);
  if (!hasBody && !exchange->IsClosed()) {
    exchange->HandleBodyEnd();
    FlushSoon();
  }
}

void HttpServerConnection::OnBodyPart(std::string_view aPart)
{
  if (!mExchange) {
    return;
  }
  mBodyBytes += aPart.size();
  if (mExchange->IsFinished()) {
    return; // the rest of a body that is no longer needed
  }
  if (mBodyBytes <= mMaxBody.Count()) {
    mExchange->HandleBody(aPart);
  } else if (!mExchange->IsHeadSent()) {
    Refuse(413, "the request body is too large");
  } else {
    Close(); // a part that is dropped would go unnoticed
  }
}

void HttpServerConnection::Refuse(int aStatus, std::string_view aReason)
{
  RequestHead head;
  if (const auto refused = std::exchange(mExchange, nullptr)) {
    head.mMethod = refused->Head().mMethod;
    refused->HandleClosed(false);
  }
  mExchange = std::make_shared<ServerExchangeImpl>(*this, std::move(head));
  const auto exchange = mExchange;
  exchange->CloseAfterResponse();
  exchange->Respond(
    aStatus,
    { { "content-type", "application/json" }, { "work-outcome", "not-run" } },
    R"({"outcome":"not-run","reason":")" + std::string(aReason) + "\"}");
}

void HttpServerConnection::RefuseHead(int aStatus, std::string_view aReason)
{
  mIsReadingHead = false;
  mInputStart = mInput.size();
  Refuse(aStatus, aReason);
}

void HttpServerConnection::FlushSoon()
{
  if (!mIsFlushPosted) {
    mIsFlushPosted = true;
    mOwner.EventLoop().Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->mIsFlushPosted = false;
        if (self->mStream.IsOpen()) {
          self->FlushNow();
        }
      }
    });
  }
}

void HttpServerConnection::ReadSoon()
{
  if (!mIsReadPosted) {
    mIsReadPosted = true;
    mOwner.EventLoop().Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->mIsReadPosted = false;
        if (self->mStream.IsOpen()) {
          self->Process();
        }
      }
    });
  }
}

void HttpServerConnection::FlushNow()
{
  if (!mStream.Flush()) {
    Close();
    return;
  }
  if (mStream.PendingBytes() > 0 || !mExchange) {
    return;
  }
  if (!mExchange->IsFinished()) {
    mExchange->HandleWritable();
    return;
  }
  if (mExchange->ClosesAfter() || mExchange->IsBodyEnded()) {
    CompleteExchange();
  }
}

void HttpServerConnection::CompleteExchange()
{
  const auto exchange = std::exchange(mExchange, nullptr);
  mPhaseStart = mOwner.EventLoop().Now();
  exchange->HandleClosed(true);
  if (exchange->ClosesAfter()) {
    BeginLingeringClose();
  } else {
    ReadSoon();
  }
}

void HttpServerConnection::BeginLingeringClose()
{
  mIsLingering = true;
  mPhaseStart = mOwner.EventLoop().Now();
  mStream.ShutdownSending();
  ReadSoon();
}

} // namespace auburnmux::http::internal
