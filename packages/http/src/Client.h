#pragma once

#include "http/src/Loop.h"
#include "http/src/Message.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburnmux::http {

/** Why an exchange ended without a whole response. */
enum class FailureKind
{
  ConnectRefused,
  ConnectTimeout,
  /** The connection broke before the head of a response. */
  Reset,
  /** The connection broke, or the body ended, before its whole length. */
  Truncated,
  /** The response broke the protocol. */
  Malformed
};

/** How an exchange failed. */
struct Failure
{
  FailureKind mKind = FailureKind::Reset;
  /** Whether any byte of the request may have reached the other side. */
  bool mMayHaveReached = false;
  /** How long the connection had been idle before the request; unset for a
   * new one. */
  std::optional<base::Duration> mIdleBefore;
};

/** Receives the events of one exchange of a Client. */
class ResponseObserver
{
public:
  virtual ~ResponseObserver() = default;
  virtual void OnHead(const ResponseHead& aHead) = 0;
  virtual void OnBody(std::string_view aPart) = 0;
  /** The whole response has arrived. No other call follows. */
  virtual void OnEnd() = 0;
  /** The exchange failed. No other call follows. */
  virtual void OnFailure(const Failure& aFailure) = 0;
  /** All data given to SendBody() was handed to the socket. */
  virtual void OnWritable() {}
};

/** One request of a Client. */
class ClientExchange
{
public:
  virtual ~ClientExchange() = default;
  /** \returns whether any byte may have reached the other side. */
  virtual bool MayHaveReached() const = 0;
  /** \returns the time to connect; unset on a kept connection, and until the
   * new one is open. */
  virtual std::optional<base::Duration> ConnectTime() const = 0;
  /** \returns bytes given to SendBody() and not yet handed to the socket. */
  virtual base::ByteCount PendingBytes() const = 0;
  /** \returns bytes of the request that the other side's kernel has not
   * acknowledged. */
  virtual base::ByteCount UnacknowledgedBytes() const = 0;
  /** Sends a part of the body. \pre the request has a body */
  virtual void SendBody(std::string_view aPart) = 0;
  /** Ends a body that is sent in chunks; ignored for others. */
  virtual void EndBody() = 0;
  /** Stops or resumes the arrival of body parts (back-pressure). */
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
  /** Length of the body, which SendBody() sends; unset for none. */
  std::optional<base::ByteCount> mContentLength;
  /** Sends the body in chunks until EndBody(). \pre no content length */
  bool mIsChunked = false;
  /**
   * Uses a connection of its own. A kept connection may be closed by the
   * other side just as the request is sent, which leaves its outcome unknown.
   */
  bool mNeedsFreshConnection = false;
  /** Kept connections that were idle for longer aren't used. */
  base::Duration mMaxIdle = std::chrono::hours(1);
  base::Duration mConnectTimeout = std::chrono::seconds(2);
  /**
   * Tells whether a response belongs to this request. Others, which an
   * upstream may send late, are read and dropped. Unset accepts any.
   */
  std::function<bool(const ResponseHead&)> mIsOwnResponse;
};

/** How a Client treats its connections. */
struct ClientOptions
{
  /** Address that connections come from; empty for any. */
  std::string mSource;
  base::ByteCount mMaxResponseHead{ 65536 };
  /** Idle connections are closed after this time at the latest. */
  base::Duration mMaxIdle = std::chrono::seconds(4);
  /** The same for connections on which no Keep-Alive field came. */
  base::Duration mUnstatedIdle = std::chrono::seconds(4);
  /** Time before the end that a Keep-Alive field states at which an idle
   * connection is closed. */
  base::Duration mKeepAliveMargin = std::chrono::seconds(1);
  /** Longest time that sent data may stay unacknowledged. */
  base::Duration mUnacknowledged = std::chrono::seconds(10);
  /** Silence after which the other side's kernel is probed. */
  base::Duration mProbeAfter = std::chrono::seconds(10);
};

/**
 * An HTTP/1.1 client that keeps idle connections. A connection carries one
 * request at a time, so a request never waits behind another one.
 */
class Client
{
public:
  /** \param aSource address that connections come from; empty for any. */
  explicit Client(Loop& aLoop, std::string aSource = {});
  Client(Loop& aLoop, ClientOptions aOptions);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /**
   * Starts a request; events go to \a aObserver, never before Send() returns.
   * \returns the exchange, valid until OnEnd(), OnFailure() or Cancel()
   */
  std::shared_ptr<ClientExchange> Send(
    const ClientRequest& aRequest, std::shared_ptr<ResponseObserver> aObserver);

  /** Closes the idle connections to \a aEndpoint. */
  void CloseIdle(const Endpoint& aEndpoint);
  /** \returns connections opened since the start. */
  std::uint64_t OpenedConnections() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::http
