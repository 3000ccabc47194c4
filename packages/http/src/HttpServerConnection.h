#pragma once

#include "http/src/MessageReader.h"
#include "http/src/Server.h"
#include "http/src/TcpStream.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburnmux::http::internal {

class HttpServerConnection;

/** Implements ServerExchange on an HttpServerConnection. */
class ServerExchangeImpl final : public ServerExchange
{
public:
  ServerExchangeImpl(HttpServerConnection& aConnection, RequestHead aHead);

  const RequestHead& Head() const override { return mHead; }
  bool IsClosed() const override { return mConnection == nullptr; }
  bool IsHeadSent() const override { return mIsHeadSent; }
  base::ByteCount PendingBytes() const override;
  void Observe(std::unique_ptr<RequestObserver> aObserver) override;
  void PauseReading(bool aIsPaused) override;
  void SendHead(const ResponseHead& aHead) override;
  void SendBody(std::string_view aPart) override;
  void Finish() override;
  void Abort() override;

  /** Closes the connection after the response, and announces it in a head that
   * is not sent yet. */
  void CloseAfterResponse() { mClosesAfter = true; }
  bool ClosesAfter() const { return mClosesAfter; }
  /** \returns whether the whole response was queued. */
  bool IsFinished() const { return mIsFinished; }
  bool IsBodyEnded() const { return mIsBodyEnded; }
  /** \returns whether the delivery of body parts is paused. */
  bool IsPaused() const { return mIsPaused || mIsWaitingForObserver; }

  void HandleBody(std::string_view aPart);
  void HandleBodyEnd();
  /** All queued bytes were written to the socket. */
  void HandleWritable();
  /** Ends the exchange and detaches it from the connection. */
  void HandleClosed(bool aIsComplete);

private:
  void DeliverEarlyEvents();
  void AppendChunk(std::string_view aPart);

  HttpServerConnection* mConnection;
  RequestHead mHead;
  std::unique_ptr<RequestObserver> mObserver;
  std::string mEarlyBody;
  bool mIsBodyEnded = false;
  bool mIsBodyEndDelivered = false;
  bool mIsPaused = false;
  // Whether body parts arrived before an observer was installed; reading is
  // paused until then.
  bool mIsWaitingForObserver = false;
  bool mIsHeadSent = false;
  bool mIsChunked = false;
  bool mIsFinished = false;
  bool mClosesAfter = false;
};

/** A persistent connection of a Server; carries one exchange at a time. */
class HttpServerConnection final
  : public SocketWatcher
  , public BodySink
  , public std::enable_shared_from_this<HttpServerConnection>
{
public:
  /** The server of a connection. */
  class Owner
  {
  public:
    virtual ~Owner() = default;
    virtual Loop& EventLoop() = 0;
    virtual const ServerLimits& Limits() const = 0;
    /** \returns the account of the bytes queued to clients; null if none. */
    virtual std::shared_ptr<buffering::HeldBytes> Account() const = 0;
    virtual bool ClosesAfterResponses() const = 0;
    virtual void OnRequest(const std::shared_ptr<ServerExchangeImpl>&) = 0;
    /** The connection's socket is closed. */
    virtual void OnConnectionClosed(HttpServerConnection& aConnection) = 0;
  };

  HttpServerConnection(Owner& aOwner, int aDescriptor,
                       std::string aClientAddress);

  /** Refuses the request or closes the connection if a timeout expired. */
  void CheckTimeouts(base::TimePoint aNow);
  /** Closes the connection if it carries no request. */
  void CloseIfIdle();
  bool HasExchange() const { return mExchange != nullptr; }
  const std::shared_ptr<ServerExchangeImpl>& Exchange() const
  {
    return mExchange;
  }
  int Descriptor() const { return mDescriptor; }
  /** Closes the connection and ends its exchange, if any, as incomplete. */
  void Close();
  /** Same, and discards what the client has not read. */
  void CloseDiscardingUnread();
  /** Samples the progress of the client. \returns none while it has read all
   */
  std::optional<buffering::HeldClient> SampleProgress(base::TimePoint aNow);
  const std::string& ClientAddress() const { return mClientAddress; }

  void OnReady(SocketReadiness aReadiness) override;
  void OnBodyPart(std::string_view aPart) override;

  // Called by the exchange.
  void Queue(std::string_view aBytes) { mStream.Queue(aBytes); }
  std::size_t PendingBytes() const { return mStream.PendingBytes(); }
  /** Sends the queued bytes after the events of this loop iteration. */
  void FlushSoon();
  /** Resumes reading after the events of this loop iteration. */
  void ReadSoon();

private:
  bool MayRead() const;
  void Process();
  void ReadInput();
  /** \returns whether parsing should continue with the remaining input. */
  bool ParseInput();
  void BeginExchange();
  /** Ends the exchange, if any, as incomplete, and sends a response in its
   * place. */
  void Refuse(int aStatus, std::string_view aReason);
  void RefuseHead(int aStatus, std::string_view aReason);
  void FlushNow();
  void CompleteExchange();
  void BeginLingeringClose();

  Owner& mOwner;
  TcpStream mStream;
  int mDescriptor;
  std::string mClientAddress;
  buffering::ReadProgress mProgress;
  std::string mInput;
  std::size_t mInputStart = 0;
  std::unique_ptr<RequestReader> mReader;
  std::shared_ptr<ServerExchangeImpl> mExchange;
  std::uint64_t mBodyBytes = 0;
  /** The limit that was in force when the request began. */
  base::ByteCount mMaxBody;
  // Start of the idle time, of reading a head or of the lingering close.
  base::TimePoint mPhaseStart;
  bool mKeepsAlive = true;
  bool mIsReadingHead = false;
  bool mMayHaveUnread = true;
  bool mIsLingering = false;
  bool mIsFlushPosted = false;
  bool mIsReadPosted = false;
};

} // namespace auburnmux::http::internal
