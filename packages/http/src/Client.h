#pragma once

#include "buffering/Buffering.h"
#include "http/src/Loop.h"
#include "http/src/Message.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburnmux::http {

/** Why an exchange ended without a complete response. */
enum class FailureKind
{
  /** The server's host answered that nothing accepts connections there. */
  ConnectRefused,
  ConnectTimeout,
  /** The server can't be reached, or no connection could be opened here. */
  ConnectFailed,
  /** The connection ended before the response head was received. */
  Reset,
  /** The connection or the body ended before the response was complete. */
  Truncated,
  /** The response violates HTTP or exceeds a size limit. */
  Malformed
};

/** \returns the name of the kind in log events, e.g. "connect_timeout". */
const char* FailureName(FailureKind aKind);

/** Describes the failure of an exchange. */
struct Failure
{
  FailureKind mKind = FailureKind::Reset;
  /** Whether any byte of the request may have reached the server. */
  bool mMayHaveReached = false;
  /** How long the connection was idle before the request; unset for a new
   * connection. */
  std::optional<base::Duration> mIdleBefore;
};

/** Receives the events of one exchange of a Client. */
class ResponseObserver
{
public:
  virtual ~ResponseObserver() = default;
  virtual void OnHead(const ResponseHead& aHead) = 0;
  virtual void OnBody(std::string_view aPart) = 0;
  /** The response is complete. No other call follows. */
  virtual void OnEnd() = 0;
  /** The exchange failed. No other call follows. */
  virtual void OnFailure(const Failure& aFailure) = 0;
  /** All data passed to SendBody() was written to the socket. */
  virtual void OnWritable() {}
};

/** One request of a Client and its response. */
class ClientExchange
{
public:
  virtual ~ClientExchange() = default;
  /** \returns whether any byte may have reached the server. */
  virtual bool MayHaveReached() const = 0;
  /** \returns how long connecting took; unset on a reused connection and
   * until a new one is established. */
  virtual std::optional<base::Duration> ConnectTime() const = 0;
  /** \returns the number of queued bytes not yet written to the socket. */
  virtual base::ByteCount PendingBytes() const = 0;
  /** \returns the number of request bytes, queued ones included, that the
   * peer's kernel has not acknowledged. */
  virtual base::ByteCount UnacknowledgedBytes() const = 0;
  /** Sends a part of the body. \pre the request has a body */
  virtual void SendBody(std::string_view aPart) = 0;
  /** Ends a chunked body; ignored for other bodies. */
  virtual void EndBody() = 0;
  /** Pauses or resumes the delivery of body parts (back-pressure). */
  virtual void PauseReading(bool aIsPaused) = 0;
  /** Closes the connection; no event follows. */
  virtual void Cancel() = 0;
};

/** A request to send. */
struct ClientRequest
{
  Endpoint mEndpoint;
  std::string mMethod = "GET";
  /** Path and query. */
  std::string mTarget = "/";
  Headers mHeaders;
  /** Length of the body that SendBody() sends; unset for a chunked or absent
   * body. */
  std::optional<base::ByteCount> mContentLength;
  /** Sends the body chunked, until EndBody(). \pre no content length */
  bool mIsChunked = false;
  /**
   * Opens a new connection for this request. The server may close an idle
   * connection just as the request is sent, which leaves the outcome of the
   * request unknown.
   */
  bool mNeedsFreshConnection = false;
  /** Connections that were idle for this time or longer aren't reused. */
  base::Duration mMaxIdle = std::chrono::hours(1);
  base::Duration mConnectTimeout = std::chrono::seconds(2);
  /**
   * Returns to which request a response belongs. Responses to earlier requests,
   * which a server may send late or again, are read and discarded; the exchange
   * fails as malformed if a response belongs to no request. A connection that
   * carries its first request has no earlier ones. If unset, every response is
   * accepted.
   */
  std::function<base::ResponseOwner(const ResponseHead&, bool aIsFirstRequest)>
    mResponseOwner;
};

/** How an attempt to connect ended. */
enum class ConnectOutcome
{
  Connected,
  /** The server's host answered that nothing accepts connections there. */
  Refused,
  /** No answer in time, or the server can't be reached. */
  Failed
};

/** Limits and timeouts of a Client's connections. */
struct ClientOptions
{
  /** Local address of the connections; empty for any. */
  std::string mSource;
  base::ByteCount mMaxResponseHead{ 65536 };
  /** Maximum time that a connection is kept idle. */
  base::Duration mMaxIdle = std::chrono::seconds(4);
  /** Maximum idle time of connections whose server sent no Keep-Alive field;
   * at most mMaxIdle. */
  base::Duration mDefaultMaxIdle = std::chrono::seconds(4);
  /** How long before the timeout in the server's Keep-Alive field an idle
   * connection is closed. */
  base::Duration mKeepAliveMargin = std::chrono::seconds(1);
  /** Maximum time that sent data, or a probe of the peer's closed receive
   * window, may stay unacknowledged. A peer that acknowledges and reads nothing
   * is waited for. At least 2 s: Linux doesn't acknowledge a probe within 500
   * ms of the one before, and the next one follows up to a second later. */
  base::Duration mUnacknowledgedTimeout = std::chrono::seconds(10);
  /** Idle time after which TCP keep-alive probes are sent. */
  base::Duration mProbeAfter = std::chrono::seconds(10);
  /** Unanswered probes, one second apart, after which a connection is closed.
   */
  std::uint32_t mMaxProbes = 3;
  /** Counts the bytes queued to servers; null if nothing does. */
  std::shared_ptr<buffering::HeldBytes> mAccount;

  /** \returns the time after which a connection is closed whose peer has
   * become silent. Linux waits for mUnacknowledgedTimeout in any case. */
  base::Duration SilenceTimeout() const
  {
    const base::Duration probing =
      mProbeAfter + mMaxProbes * std::chrono::seconds(1);
    return std::max(probing, mUnacknowledgedTimeout);
  }
};

/**
 * An HTTP/1.1 client with a pool of idle connections. A connection carries one
 * request at a time, so a request never waits behind another one.
 */
class Client
{
public:
  /** \param aSource local address of the connections; empty for any. */
  explicit Client(Loop& aLoop, std::string aSource = {});
  Client(Loop& aLoop, ClientOptions aOptions);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /**
   * Starts a request. \a aObserver is never called before Send() returns.
   * \returns the exchange, valid until OnEnd(), OnFailure() or Cancel()
   */
  std::shared_ptr<ClientExchange> Send(
    const ClientRequest& aRequest, std::shared_ptr<ResponseObserver> aObserver);

  /**
   * Opens a connection and keeps it idle, for the next request to
   * \a aEndpoint. Calls \a aDone later, unless the client is destroyed first.
   * \returns whether the attempt was started
   */
  bool OpenIdle(const Endpoint& aEndpoint, base::Duration aTimeout,
                std::function<void(ConnectOutcome)> aDone);
  /** \returns whether a request to \a aEndpoint can be sent on an open
   * connection. */
  bool HasIdle(const Endpoint& aEndpoint) const;
  /** Closes the idle connections to \a aEndpoint. */
  void CloseIdle(const Endpoint& aEndpoint);
  /** Calls \a aObserver, from then on, when a server has closed an idle
   * connection. Null ends this. */
  void ObserveIdle(std::function<void(const Endpoint&)> aObserver);
  /** \returns the number of connections opened so far. */
  std::uint64_t OpenedConnections() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::http
