#include "http/src/ServerConnection.h"

#include <cassert>
#include <utility>

namespace auburnmux::http::internal {

namespace {

// Reads of one connection in one turn of the loop.
constexpr int kTurnReads = 4;

// How long a closing connection waits for the other side to read its
// response: a close with unread input would discard it.
constexpr base::Duration kDrainTime = std::chrono::seconds(2);

} // namespace

ServerLink::ServerLink(Owner& aOwner, int aDescriptor,
                       std::string aClientAddress)
  : mOwner(aOwner)
  , mStream(aOwner.EventLoop(), *this)
  , mDescriptor(aDescriptor)
  , mClientAddress(std::move(aClientAddress))
  , mSince(aOwner.EventLoop().Now())
{
  mStream.Adopt(aDescriptor);
}

void ServerLink::CheckTime(base::TimePoint aNow)
{
  const base::Duration age = aNow - mSince;
  if (mIsDraining) {
    if (age > kDrainTime) {
      Close();
    }
  } else if (mExchange) {
    return;
  } else if (mHasInput && age > mOwner.Limits().mHeadTimeout) {
    RefuseInput(408, "the request head did not arrive in time");
  } else if (!mHasInput && age > mOwner.Limits().mIdleTimeout) {
    CloseAfterDrain();
  }
}

void ServerLink::CloseIfIdle()
{
  if (!mExchange && !mHasInput && !mIsDraining) {
    CloseAfterDrain();
  }
}

void ServerLink::Close()
{
  if (!mStream.IsOpen()) {
    return;
  }
  const auto self = shared_from_this();
  mStream.Close();
  if (const auto exchange = std::exchange(mExchange, nullptr)) {
    exchange->HandleClosed(false);
  }
  mOwner.OnLinkClosed(*this);
}

void ServerLink::OnReady(SocketReadiness aReadiness)
{
  const auto self = shared_from_this();
  if (aReadiness.mIsHungUp) {
    Close(); // a caller that left needs no answer
    return;
  }
  if (aReadiness.mIsReadable) {
    mHasUnread = true;
  }
  if (aReadiness.mIsWritable && mStream.Pending() > 0) {
    FlushNow();
  }
  if (mStream.IsOpen() && aReadiness.mIsReadable) {
    Process();
  }
}

bool ServerLink::MayRead() const
{
  if (mIsDraining || !mExchange) {
    return true;
  }
  return !mExchange->IsBodyEnded() && !mExchange->IsPaused();
}

void ServerLink::Process()
{
  for (int i = 0;; ++i) {
    while (mStream.IsOpen() && MayRead() && ParseInput()) {
    }
    if (!mStream.IsOpen() || !MayRead() || !mHasUnread) {
      return;
    }
    if (i == kTurnReads) {
      ReadSoon();
      return;
    }
    ReadInput();
  }
}

void ServerLink::ReadInput()
{
  mIn.erase(0, mInStart);
  mInStart = 0;
  const TcpStream::ReadResult result = mStream.Read(mIn);
  if (result == TcpStream::ReadResult::Blocked) {
    mHasUnread = false;
  } else if (result != TcpStream::ReadResult::Data) {
    Close();
  }
}

bool ServerLink::ParseInput()
{
  if (mInStart == mIn.size()) {
    return false;
  }
  if (mIsDraining) {
    mInStart = mIn.size();
    return true;
  }
  if (!mExchange && !mHasInput) {
    mHasInput = true;
    mSince = mOwner.EventLoop().Now();
    mReader = std::make_unique<RequestReader>(mOwner.Limits().mMaxHead);
  }
  const std::string_view bytes = std::string_view(mIn).substr(mInStart);
  const ReadStep step = mReader->Read(bytes, *this);
  mInStart += step.mConsumed;
  if (!mStream.IsOpen() || mIsDraining) {
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
      RefuseInput(431, "the request head is too long");
      return false;
    case ReadState::Malformed:
      if (mExchange) {
        Close();
      } else {
        RefuseInput(400, "malformed request head");
      }
      return false;
  }
  return false;
}

void ServerLink::BeginExchange()
{
  mHasInput = false;
  mBodyBytes = 0;
  mKeepsAlive = mReader->KeepsAlive();
  RequestHead head = mReader->TakeHead();
  head.mClientAddress = mClientAddress;
  const bool hasBody = head.mIsChunked || (head.mContentLength &&
                                           head.mContentLength->Count() > 0);
  const bool isTooLarge =
    head.mContentLength && *head.mContentLength > mOwner.Limits().mMaxBody;
  const bool hasHost = head.mHeaders.Find("host").has_value();
  const auto expect = head.mHeaders.Find("expect");
  const bool isExpecting = hasBody && expect && *expect == "100-continue";
  head.mHeaders.Remove("expect");
  mExchange = std::make_shared<ServerConnection>(*this, std::move(head));
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

void ServerLink::OnBodyPart(std::string_view aPart)
{
  if (!mExchange) {
    return;
  }
  mBodyBytes += aPart.size();
  if (mBodyBytes <= mOwner.Limits().mMaxBody.Count()) {
    mExchange->HandleBody(aPart);
  } else if (!mExchange->IsHeadSent()) {
    Refuse(413, "the request body is too large");
  }
}

void ServerLink::Refuse(int aStatus, std::string_view aReason)
{
  const auto exchange = mExchange;
  exchange->CloseAfterResponse();
  exchange->Respond(
    aStatus,
    { { "content-type", "application/json" }, { "work-outcome", "not-run" } },
    R"({"outcome":"not-run","reason":")" + std::string(aReason) + "\"}");
}

void ServerLink::RefuseInput(int aStatus, std::string_view aReason)
{
  // A head that can't be read has no exchange; an empty one carries the
  // refusal.
  mHasInput = false;
  mExchange = std::make_shared<ServerConnection>(*this, RequestHead{});
  mInStart = mIn.size();
  Refuse(aStatus, aReason);
}

void ServerLink::FlushSoon()
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

void ServerLink::ReadSoon()
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

void ServerLink::FlushNow()
{
  if (!mStream.Flush()) {
    Close();
    return;
  }
  if (mStream.Pending() > 0 || !mExchange) {
    return;
  }
  if (!mExchange->IsFinished()) {
    mExchange->HandleDrained();
    return;
  }
  if (mExchange->ClosesAfter() || mExchange->IsBodyEnded()) {
    CompleteExchange();
  }
}

void ServerLink::CompleteExchange()
{
  const auto exchange = std::exchange(mExchange, nullptr);
  mSince = mOwner.EventLoop().Now();
  exchange->HandleClosed(true);
  if (exchange->ClosesAfter()) {
    CloseAfterDrain();
  } else {
    ReadSoon();
  }
}

void ServerLink::CloseAfterDrain()
{
  mIsDraining = true;
  mSince = mOwner.EventLoop().Now();
  mStream.CloseForSending();
  ReadSoon();
}

} // namespace auburnmux::http::internal
