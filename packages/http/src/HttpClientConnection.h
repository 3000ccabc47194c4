#pragma once

#include "http/src/Client.h"
#include "http/src/MessageReader.h"
#include "http/src/TcpStream.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburnmux::http::internal {

class HttpClientConnection;

/** Implements ClientExchange on an HttpClientConnection. */
class ClientExchangeImpl final : public ClientExchange
{
public:
  ClientExchangeImpl(Loop& aLoop, ClientRequest aRequest,
                     std::shared_ptr<ResponseObserver> aObserver);

  bool MayHaveReached() const override { return mMayHaveReached; }
  std::optional<base::Duration> ConnectTime() const override
  {
    return mConnectTime;
  }
  base::ByteCount PendingBytes() const override;
  base::ByteCount UnacknowledgedBytes() const override;
  void SendBody(std::string_view aPart) override;
  void EndBody() override;
  void PauseReading(bool aIsPaused) override;
  void Cancel() override;

  const ClientRequest& Request() const { return mRequest; }
  bool IsPaused() const { return mIsPaused; }
  /** \returns whether the whole request was queued for sending. */
  bool IsRequestComplete() const { return mIsRequestComplete; }

  void Attach(std::shared_ptr<HttpClientConnection> aConnection);
  /** The request is sent on a connection that was idle for \a aIdle. */
  void HandleReused(base::Duration aIdle) { mIdleBefore = aIdle; }
  void HandleConnected(base::Duration aTime) { mConnectTime = aTime; }
  void HandleSent() { mMayHaveReached = true; }
  void HandleHead(const ResponseHead& aHead);
  void HandleBody(std::string_view aPart);
  void HandleWritable();
  void HandleEnd();
  void HandleFailure(FailureKind aKind);
  /** Releases the observer and the connection; no event follows. */
  void Detach();

private:
  Loop& mLoop;
  ClientRequest mRequest;
  std::shared_ptr<ResponseObserver> mObserver;
  std::shared_ptr<HttpClientConnection> mConnection;
  std::optional<base::Duration> mConnectTime;
  std::optional<base::Duration> mIdleBefore;
  std::uint64_t mUnsentBody = 0;
  bool mIsRequestComplete = false;
  bool mMayHaveReached = false;
  bool mIsPaused = false;
};

/** A persistent connection of a Client; carries one exchange at a time. */
class HttpClientConnection final
  : public SocketWatcher
  , public BodySink
  , public std::enable_shared_from_this<HttpClientConnection>
{
public:
  /** Receives the state changes of a connection. */
  class Owner
  {
  public:
    virtual ~Owner() = default;
    /** The connection is idle and may carry another request. */
    virtual void OnIdle(
      const std::shared_ptr<HttpClientConnection>& aConnection) = 0;
    /** The server closed an idle connection. */
    virtual void OnIdleClosed(const Endpoint& aEndpoint) = 0;
    /** The connection's socket is closed. */
    virtual void OnConnectionClosed(
      const HttpClientConnection& aConnection) = 0;
  };

  HttpClientConnection(Loop& aLoop, Owner& aOwner, Endpoint aEndpoint,
                       const ClientOptions& aOptions);
  ~HttpClientConnection() override;
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  const Endpoint& RemoteEndpoint() const { return mEndpoint; }
  /** Starts connecting. \returns whether the attempt was started. */
  bool Connect(base::Duration aTimeout);
  /** Calls \a aDone once connecting has ended, unless Close() is called first.
   * \pre the connection is not established yet */
  void NotifyConnected(std::function<void(ConnectOutcome)> aDone)
  {
    mOnConnected = std::move(aDone);
  }
  /** Sends \a aExchange's request. \pre no exchange is on the connection */
  void Start(const std::shared_ptr<ClientExchangeImpl>& aExchange);
  /** \returns whether the connection is open, and idle for less than its own
   * limit and \a aMaxIdle at \a aNow, so that it can carry a request. */
  bool IsUsable(base::TimePoint aNow, base::Duration aMaxIdle) const;
  /** Fails the exchange if the peer is dead behind a closed receive window,
   * which the kernel doesn't tell from a peer that pauses reading. */
  void CheckPeer();
  /** Closes the connection. \returns the exchange that was on it, if any. */
  std::shared_ptr<ClientExchangeImpl> Close();

  void OnReady(SocketReadiness aReadiness) override;
  void OnBodyPart(std::string_view aPart) override;

  // Called by the exchange.
  void Queue(std::string_view aBytes) { mStream.Queue(aBytes); }
  std::size_t PendingBytes() const { return mStream.PendingBytes(); }
  std::size_t UnacknowledgedBytes() const
  {
    return mStream.UnacknowledgedBytes();
  }
  void FlushSoon();
  void ReadSoon();

private:
  void HandleConnected();
  void FlushNow();
  void Process();
  bool MayParse() const;
  void ReadInput();
  /** \returns whether parsing should continue with the remaining input. */
  bool ParseInput();
  void BeginResponse();
  void HandleHead();
  void HandleEnd();
  /**
   * \returns whether the peer's kernel has the whole request. A connection that
   * is closed before may have been cut: a process that dies without unread
   * input closes in order, and a reset follows only when more input arrives.
   */
  bool IsRequestReceived() const;
  /** \returns whether the current response is interim (1xx) or belongs to
   * another request, and is therefore discarded. */
  bool IsSkipping() const { return mIsInterim || mIsForeign; }
  void CompleteResponse();
  void Fail(FailureKind aKind);
  /** The server closed the connection, which was idle. */
  void HandleIdleEnd();
  /** Reports the outcome of connecting, if anybody waits for it. */
  void ReportConnected(ConnectOutcome aOutcome);
  void StopConnectTimer();

  Loop& mLoop;
  Owner& mOwner;
  Endpoint mEndpoint;
  ClientOptions mOptions;
  TcpStream mStream;
  ClosedWindow mWindow;
  std::optional<Loop::TimerId> mConnectTimer;
  std::function<void(ConnectOutcome)> mOnConnected;
  std::shared_ptr<ClientExchangeImpl> mExchange;
  std::unique_ptr<ResponseReader> mReader;
  std::string mInput;
  std::size_t mInputStart = 0;
  std::size_t mSkippedBytes = 0;
  base::TimePoint mConnectStart;
  base::TimePoint mIdleSince;
  base::Duration mIdleLimit;
  bool mIsConnected = false;
  /** Number of requests sent on the connection. */
  std::uint64_t mRequests = 0;
  bool mIsInterim = false;
  bool mIsForeign = false;
  bool mHasHead = false;
  // Whether a response to another request was received. More may follow, so
  // the connection is not reused.
  bool mHasSeenForeignResponse = false;
  bool mMayHaveUnread = false;
  bool mIsFlushPosted = false;
  bool mIsReadPosted = false;
};

} // namespace auburnmux::http::internal
