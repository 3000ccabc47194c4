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

class ClientLink;

/** One request of a Client. */
class ClientConnection final : public ClientExchange
{
public:
  ClientConnection(Loop& aLoop, ClientRequest aRequest,
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
  /** \returns whether the request was handed over to its last byte. */
  bool IsRequestComplete() const { return mIsRequestComplete; }

  void Attach(std::shared_ptr<ClientLink> aLink);
  /** The request goes on a connection that was idle for \a aIdle. */
  void HandleReused(base::Duration aIdle) { mIdleBefore = aIdle; }
  void HandleConnected(base::Duration aTime) { mConnectTime = aTime; }
  void HandleSent() { mMayHaveReached = true; }
  void HandleHead(const ResponseHead& aHead);
  void HandleBody(std::string_view aPart);
  void HandleWritable();
  void HandleEnd();
  void HandleFailure(FailureKind aKind);
  /** Drops the observer: nobody waits any more. */
  void Forget();

private:
  Loop& mLoop;
  ClientRequest mRequest;
  std::shared_ptr<ResponseObserver> mObserver;
  std::shared_ptr<ClientLink> mLink;
  std::optional<base::Duration> mConnectTime;
  std::optional<base::Duration> mIdleBefore;
  std::uint64_t mUnsentBody = 0;
  bool mIsRequestComplete = false;
  bool mMayHaveReached = false;
  bool mIsPaused = false;
};

/** A connection of a Client: carries one exchange after the other. */
class ClientLink final
  : public SocketWatcher
  , public BodySink
  , public std::enable_shared_from_this<ClientLink>
{
public:
  /** What a link needs of its client. */
  class Owner
  {
  public:
    virtual ~Owner() = default;
    /** The link is idle and may carry another request. */
    virtual void OnIdle(const std::shared_ptr<ClientLink>& aLink) = 0;
    /** The link's socket is closed. */
    virtual void OnLinkClosed(const ClientLink& aLink) = 0;
  };

  ClientLink(Loop& aLoop, Owner& aOwner, Endpoint aEndpoint,
             const ClientOptions& aOptions);
  ~ClientLink() override;
  ClientLink(const ClientLink&) = delete;
  ClientLink& operator=(const ClientLink&) = delete;

  const Endpoint& To() const { return mEndpoint; }
  /** Begins to connect. \returns whether the attempt is under way. */
  bool Connect(base::Duration aTimeout);
  /** Sends \a aExchange's request. \pre no exchange is on the link */
  void Start(const std::shared_ptr<ClientConnection>& aExchange);
  /** \returns whether another request may still be sent at \a aNow. */
  bool IsUsable(base::TimePoint aNow, base::Duration aMaxIdle) const;
  /** Closes the connection. \returns the exchange that was on it, if any. */
  std::shared_ptr<ClientConnection> Close();

  void OnReady(SocketReadiness aReadiness) override;
  void OnBodyPart(std::string_view aPart) override;

  // For the exchange.
  void Queue(std::string_view aBytes) { mStream.Queue(aBytes); }
  std::size_t Pending() const { return mStream.Pending(); }
  std::size_t Unacknowledged() const { return mStream.Unacknowledged(); }
  void FlushSoon();
  void ReadSoon();

private:
  void HandleConnected();
  void FlushNow();
  void Process();
  bool MayParse() const;
  void ReadInput();
  /** \returns whether any input was used. */
  bool ParseInput();
  void BeginResponse();
  void HandleHead();
  void HandleEnd();
  /** \returns whether the response that is read is not the awaited one. */
  bool IsSkipping() const { return mIsInterim || mIsForeign; }
  void CompleteResponse();
  void Fail(FailureKind aKind);
  void StopConnectTimer();

  Loop& mLoop;
  Owner& mOwner;
  Endpoint mEndpoint;
  ClientOptions mOptions;
  TcpStream mStream;
  std::optional<Loop::TimerId> mConnectTimer;
  std::shared_ptr<ClientConnection> mExchange;
  std::unique_ptr<ResponseReader> mReader;
  std::string mIn;
  std::size_t mInStart = 0;
  std::size_t mSkipped = 0;
  base::TimePoint mConnectBegin;
  base::TimePoint mIdleSince;
  base::Duration mIdleLimit;
  bool mIsConnected = false;
  bool mIsInterim = false;
  bool mIsForeign = false;
  bool mHasHead = false;
  // Whether a response of another request came; more may follow.
  bool mIsSuspect = false;
  bool mHasUnread = false;
  bool mIsFlushPosted = false;
  bool mIsReadPosted = false;
};

} // namespace auburnmux::http::internal
