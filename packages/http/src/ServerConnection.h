#pragma once

#include "http/src/MessageReader.h"
#include "http/src/Server.h"
#include "http/src/TcpStream.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburnmux::http::internal {

class ServerLink;

/** One request on a connection of a Server, and its response. */
class ServerConnection final : public ServerExchange
{
public:
  ServerConnection(ServerLink& aLink, RequestHead aHead);

  const RequestHead& Head() const override { return mHead; }
  bool IsClosed() const override { return mLink == nullptr; }
  bool IsHeadSent() const override { return mIsHeadSent; }
  base::ByteCount PendingBytes() const override;
  void Observe(std::unique_ptr<RequestObserver> aObserver) override;
  void PauseReading(bool aIsPaused) override;
  void SendHead(const ResponseHead& aHead) override;
  void SendBody(std::string_view aPart) override;
  void Finish() override;
  void Abort() override;

  /** Says that the connection closes once this response is sent. */
  void CloseAfterResponse() { mClosesAfter = true; }
  bool ClosesAfter() const { return mClosesAfter; }
  /** \returns whether the whole response was queued. */
  bool IsFinished() const { return mIsFinished; }
  bool IsBodyEnded() const { return mIsBodyEnded; }
  /** \returns whether body parts have to wait. */
  bool IsPaused() const { return mIsPaused || mIsHeld; }

  void HandleBody(std::string_view aPart);
  void HandleBodyEnd();
  /** All queued bytes were handed to the kernel. */
  void HandleDrained();
  /** The exchange is over and lets go of the connection. */
  void HandleClosed(bool aIsComplete);

private:
  void DeliverEarlyEvents();
  void AppendChunk(std::string_view aPart);

  ServerLink* mLink;
  RequestHead mHead;
  std::unique_ptr<RequestObserver> mObserver;
  std::string mEarlyBody;
  bool mIsBodyEnded = false;
  bool mIsBodyEndDelivered = false;
  bool mIsPaused = false;
  // Body parts wait for the observer to be installed.
  bool mIsHeld = false;
  bool mIsHeadSent = false;
  bool mIsChunked = false;
  bool mIsFinished = false;
  bool mClosesAfter = false;
};

/** A connection of a Server: carries one exchange after the other. */
class ServerLink final
  : public SocketWatcher
  , public BodySink
  , public std::enable_shared_from_this<ServerLink>
{
public:
  /** What a link needs of its server. */
  class Owner
  {
  public:
    virtual ~Owner() = default;
    virtual Loop& EventLoop() = 0;
    virtual const ServerLimits& Limits() const = 0;
    virtual bool ClosesAfterResponses() const = 0;
    virtual void OnRequest(const std::shared_ptr<ServerConnection>&) = 0;
    /** The link's socket is closed. */
    virtual void OnLinkClosed(ServerLink& aLink) = 0;
  };

  ServerLink(Owner& aOwner, int aDescriptor, std::string aClientAddress);

  /** Closes the connection if it exceeded a time limit. */
  void CheckTime(base::TimePoint aNow);
  /** Closes the connection if no request is on it. */
  void CloseIfIdle();
  bool HasExchange() const { return mExchange != nullptr; }
  const std::shared_ptr<ServerConnection>& Exchange() const
  {
    return mExchange;
  }
  int Descriptor() const { return mDescriptor; }
  /** Closes the connection; its exchange learns of it. */
  void Close();

  void OnReady(SocketReadiness aReadiness) override;
  void OnBodyPart(std::string_view aPart) override;

  // For the exchange.
  void Queue(std::string_view aBytes) { mStream.Queue(aBytes); }
  std::size_t Pending() const { return mStream.Pending(); }
  /** Sends what is queued when the events of this turn are served. */
  void FlushSoon();
  /** Reads on when the events of this turn are served. */
  void ReadSoon();

private:
  bool MayRead() const;
  void Process();
  void ReadInput();
  /** \returns whether any input was used. */
  bool ParseInput();
  void BeginExchange();
  void Refuse(int aStatus, std::string_view aReason);
  void RefuseInput(int aStatus, std::string_view aReason);
  void FlushNow();
  void CompleteExchange();
  void CloseAfterDrain();

  Owner& mOwner;
  TcpStream mStream;
  int mDescriptor;
  std::string mClientAddress;
  std::string mIn;
  std::size_t mInStart = 0;
  std::unique_ptr<RequestReader> mReader;
  std::shared_ptr<ServerConnection> mExchange;
  std::uint64_t mBodyBytes = 0;
  // Start of the idle time, of a head that is arriving or of the drain.
  base::TimePoint mSince;
  bool mKeepsAlive = true;
  bool mHasInput = false;
  bool mHasUnread = true;
  bool mIsDraining = false;
  bool mIsFlushPosted = false;
  bool mIsReadPosted = false;
};

} // namespace auburnmux::http::internal
