#include "http/src/HttpServerConnection.h"

#include <algorithm>
#include <utility>

namespace auburnmux::http::internal {

namespace {

// Maximum reads from one connection in one iteration of the event loop.
constexpr int kMaxReadsPerIteration = 4;

// Maximum time that a lingering close waits for the peer to close once the peer
// has acknowledged all that was sent. Closing with unread input resets the
// connection, and the peer could lose the response.
constexpr base::Duration kLingerTimeout = std::chrono::seconds(2);

// Maximum reads that discard unread input before the connection closes.
constexpr int kMaxDiscardingReads = 64;

bool HasBody(const RequestHead& aHead)
{
  return aHead.mIsChunked ||
         (aHead.mContentLength && aHead.mContentLength->Count() > 0);
}

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
    CheckLingeringClose(aNow);
  } else if (mIsReadingHead && !MayRead()) {
    mPhaseStart = aNow; // the rest of the head may have arrived
  } else if (mIsReadingHead) {
    if (age > mOwner.Limits().mHeadTimeout) {
      RefuseHead(408, "the request head did not arrive in time");
    }
  } else if (age > mOwner.Limits().mIdleTimeout) {
    CloseIfIdle();
  }
}

void HttpServerConnection::CloseIfIdle()
{
  if (!IsIdle()) {
    return;
  }
  const auto self = shared_from_this();
  mMayHaveUnread = true;
  Process(); // a request may have arrived
  if (mStream.IsOpen() && IsIdle()) {
    BeginLingeringClose();
  }
}

void HttpServerConnection::CloseAfterResponses()
{
  if (!mExchanges.IsEmpty()) {
    mExchanges.Last()->CloseAfterResponse();
  }
}

void HttpServerConnection::RequestResponses(ResponseScope aScope)
{
  const auto self = shared_from_this();
  for (const auto& it : mExchanges.Unanswered(aScope)) {
    it->HandleResponseDue();
  }
}

void HttpServerConnection::Close()
{
  if (!mStream.IsOpen()) {
    return;
  }
  const auto self = shared_from_this();
  mStream.Close();
  EndExchanges();
  mOwner.OnConnectionClosed(*this);
}

void HttpServerConnection::CloseDelivering()
{
  if (mStream.IsOpen() && mStream.UnacknowledgedBytes() > 0) {
    std::string discarded;
    auto result = TcpStream::ReadResult::Data;
    for (int i = 0;
         i < kMaxDiscardingReads && result == TcpStream::ReadResult::Data;
         ++i) {
      discarded.clear();
      result = mStream.Read(discarded);
    }
  }
  Close();
}

void HttpServerConnection::CloseAfterDelivery()
{
  const auto self = shared_from_this();
  if (mStream.UnacknowledgedBytes() == mStream.PendingBytes()) {
    Close();
    return;
  }
  mIsReadingHead = false;
  BeginLingeringClose();
  EndExchanges();
}

void HttpServerConnection::EndExchanges()
{
  for (const auto& it : mExchanges.TakeAll()) {
    it->HandleClosed(false);
  }
}

void HttpServerConnection::Abort(const ServerExchangeImpl& aExchange)
{
  if (mExchanges.IsFirst(aExchange)) {
    CloseAfterDelivery();
    return;
  }
  mIsCut = true;
  mIsReadingHead = false;
  for (const auto& it : mExchanges.TakeFrom(aExchange)) {
    it->HandleClosed(false);
  }
}

std::size_t HttpServerConnection::PendingBytes(
  const ServerExchangeImpl& aExchange) const
{
  return mStream.PendingBytes() + mExchanges.WaitingBytesUpTo(aExchange);
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
  if (mIsLingering) {
    return std::nullopt;
  }
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
    HandleHangUp(aReadiness.mIsBroken);
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

void HttpServerConnection::HandleHangUp(bool aIsBroken)
{
  if (aIsBroken || !mExchanges.IsEmpty()) {
    Close(); // the caller disconnected and needs no response
    return;
  }
  mIsHungUp = true;
  if (!mIsLingering) {
    CloseAfterDelivery();
  } else if (mStream.UnacknowledgedBytes() == 0) {
    Close();
  }
}

bool HttpServerConnection::MayRead() const
{
  if (mIsLingering) {
    return mDrainsBody && !mOwner.ClosesAfterResponses();
  }
  if (mExchanges.IsEmpty()) {
    return true;
  }
  const ServerExchangeImpl& last = *mExchanges.Last();
  if (mIsCut || !last.IsStarted()) {
    return false;
  }
  if (IsReadingBody()) {
    const bool isDiscarded =
      last.IsFinished() && last.ClosesAfter() && mOwner.ClosesAfterResponses();
    return !isDiscarded && !last.IsPaused();
  }
  return mOwner.ReadsAhead() && !last.ClosesAfter() && !mExchanges.IsFull();
}

bool HttpServerConnection::IsReadingBody() const
{
  return !mExchanges.IsEmpty() && !mExchanges.Last()->IsBodyEnded();
}

void HttpServerConnection::Process()
{
  if (!mExchanges.IsEmpty() && !mExchanges.First()->IsStarted()) {
    const auto first = mExchanges.First();
    Start(first);
  }
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
  mMayHaveUnread = result == TcpStream::ReadResult::Data;
  if (result == TcpStream::ReadResult::End ||
      result == TcpStream::ReadResult::Broken) {
    HandleHangUp(result == TcpStream::ReadResult::Broken);
  }
}

bool HttpServerConnection::ParseInput()
{
  if (mInputStart == mInput.size()) {
    return false;
  }
  if (mIsLingering) {
    HandleDiscarded(mInput.size() - mInputStart);
    mInputStart = mInput.size();
    return true;
  }
  if (!mIsReadingHead && !IsReadingBody()) {
    mIsReadingHead = true;
    mPhaseStart = mOwner.EventLoop().Now();
    mReader = std::make_unique<RequestReader>(mOwner.Limits().mMaxHead);
  }
  const std::string_view bytes = std::string_view(mInput).substr(mInputStart);
  const ReadStep step = mReader->Read(bytes, *this);
  mInputStart += step.mConsumed;
  if (!mStream.IsOpen() || mIsLingering || mIsCut) {
    return false;
  }
  switch (step.mState) {
    case ReadState::HeadDone:
      BeginExchange();
      return true;
    case ReadState::Complete:
      if (IsReadingBody()) {
        const auto exchange = mExchanges.Last();
        exchange->HandleBodyEnd();
        FlushSoon();
      }
      return true;
    case ReadState::NeedsMore:
      return step.mConsumed > 0;
    case ReadState::HeadTooLong:
      if (mIsReadingHead) {
        RefuseHead(431, "the request head is too long");
      } else {
        RefuseBody(431, "the request trailer is too long");
      }
      return false;
    case ReadState::UnknownCoding:
      RefuseHead(501, "the transfer coding is not known");
      return false;
    case ReadState::Malformed:
      if (mIsReadingHead) {
        RefuseHead(400, "malformed request head");
      } else {
        Abort(*mExchanges.Last());
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
  RequestHead head = mReader->TakeHead();
  head.mClientAddress = mClientAddress;
  const bool isTooLarge =
    head.mContentLength && *head.mContentLength > mMaxBody;
  const bool hasHost = head.mHeaders.Find("host").has_value();
  const auto expect = head.mHeaders.Find("expect");
  mIsContinueExpected = HasBody(head) && expect && *expect == "100-continue";
  head.mHeaders.Remove("expect");
  const auto exchange =
    std::make_shared<ServerExchangeImpl>(*this, std::move(head));
  mExchanges.Append(exchange);
  if (mOwner.ClosesAfterResponses() || !mReader->KeepsAlive()) {
    exchange->CloseAfterResponse();
  }
  if (!hasHost || isTooLarge) {
    Refuse(hasHost ? 413 : 400, hasHost ? "the request body is too large"
                                        : "malformed request head");
  } else if (mExchanges.IsFirst(*exchange) ||
             mOwner.MayRunEarly(exchange->Head())) {
    Start(exchange);
  }
}

void HttpServerConnection::Start(
  const std::shared_ptr<ServerExchangeImpl>& aExchange)
{
  aExchange->HandleStarted();
  if (mIsContinueExpected) {
    aExchange->SendContinue();
  }
  mOwner.OnRequest(aExchange);
  if (!HasBody(aExchange->Head()) && !aExchange->IsClosed()) {
    aExchange->HandleBodyEnd();
    FlushSoon();
  }
}

void HttpServerConnection::OnBodyPart(std::string_view aPart)
{
  if (!IsReadingBody()) {
    return; // the exchange was ended
  }
  const auto exchange = mExchanges.Last();
  mBodyBytes += aPart.size();
  if (exchange->IsFinished()) {
    return; // the rest of a body that is no longer needed
  }
  if (mBodyBytes <= mMaxBody.Count()) {
    exchange->HandleBody(aPart);
  } else {
    RefuseBody(413, "the request body is too large");
  }
}

void HttpServerConnection::Refuse(int aStatus, std::string_view aReason)
{
  RequestHead head;
  head.mMethod = mExchanges.Last()->Head().mMethod;
  const auto refusal =
    std::make_shared<ServerExchangeImpl>(*this, std::move(head));
  mExchanges.ReplaceLast(refusal)->HandleClosed(false);
  RespondRefused(*refusal, aStatus, aReason);
}

void HttpServerConnection::RefuseHead(int aStatus, std::string_view aReason)
{
  mIsReadingHead = false;
  mInputStart = mInput.size();
  const auto refusal =
    std::make_shared<ServerExchangeImpl>(*this, RequestHead());
  mExchanges.Append(refusal);
  RespondRefused(*refusal, aStatus, aReason);
}

void HttpServerConnection::RefuseBody(int aStatus, std::string_view aReason)
{
  const auto exchange = mExchanges.Last();
  if (exchange->IsHeadSent()) {
    Abort(*exchange); // a part that is dropped would go unnoticed
  } else {
    Refuse(aStatus, aReason);
  }
}

void HttpServerConnection::RespondRefused(ServerExchangeImpl& aExchange,
                                          int aStatus, std::string_view aReason)
{
  mDrainsBody = true;
  aExchange.HandleStarted();
  aExchange.HandleBodyEnd(); // nothing more is read for it
  aExchange.CloseAfterResponse();
  aExchange.Respond(
    aStatus,
    { { "content-type", "application/json" }, { "work-outcome", "not-run" } },
    R"({"outcome":"not-run","reason":")" + std::string(aReason) + "\"}");
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
  const auto self = shared_from_this();
  while (mStream.IsOpen() && !mIsLingering) {
    if (!mStream.Flush()) {
      Close();
      return;
    }
    if (mStream.PendingBytes() > 0 || mExchanges.IsEmpty()) {
      return;
    }
    const auto first = mExchanges.First();
    if (!first->IsFinished()) {
      first->HandleWritable();
      return;
    }
    if (!first->ClosesAfter() && !first->IsBodyEnded()) {
      return;
    }
    CompleteExchange();
  }
}

void HttpServerConnection::CompleteExchange()
{
  const auto exchange = mExchanges.TakeFirst();
  if (!mIsReadingHead) {
    mPhaseStart = mOwner.EventLoop().Now();
  }
  exchange->HandleClosed(true);
  if (!mStream.IsOpen()) {
    return;
  }
  if (exchange->ClosesAfter() || (mIsCut && mExchanges.IsEmpty())) {
    EndExchanges();
    mDrainsBody = mDrainsBody || !exchange->IsBodyEnded();
    BeginLingeringClose();
  } else {
    mExchanges.StartTurn();
    ReadSoon();
  }
}

void HttpServerConnection::BeginLingeringClose()
{
  mIsLingering = true;
  mPhaseStart = mOwner.EventLoop().Now();
  mProgress.Reset();
  mStream.ShutdownSending();
  ReadSoon();
}

void HttpServerConnection::CheckLingeringClose(base::TimePoint aNow)
{
  const base::TimePoint lastProgress = std::max(
    mPhaseStart, mProgress.OnSample(aNow, mStream.AcknowledgedBytes()));
  const bool isDelivered = mStream.UnacknowledgedBytes() == 0;
  const base::Duration limit =
    isDelivered ? kLingerTimeout : mOwner.Limits().mIdleTimeout;
  if ((isDelivered && mIsHungUp) || aNow - lastProgress > limit) {
    Close();
  } else if (mDrainsBody) {
    DrainSlowly();
  }
}

void HttpServerConnection::HandleDiscarded(std::size_t aBytes)
{
  mDiscardedBytes += aBytes;
  if (aBytes > 0 && mDiscardedBytes <= mOwner.Limits().mMaxBody.Count()) {
    mPhaseStart = mOwner.EventLoop().Now();
  }
}

void HttpServerConnection::DrainSlowly()
{
  std::string discarded;
  auto result = TcpStream::ReadResult::Data;
  for (int i = 0;
       i < kMaxReadsPerIteration && result == TcpStream::ReadResult::Data;
       ++i) {
    result = mStream.Read(discarded);
  }
  HandleDiscarded(discarded.size());
  if (result == TcpStream::ReadResult::End ||
      result == TcpStream::ReadResult::Broken) {
    HandleHangUp(result == TcpStream::ReadResult::Broken);
  }
}

} // namespace auburnmux::http::internal
