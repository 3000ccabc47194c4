#pragma once

#include "http/src/Loop.h"
#include "http/src/Message.h"

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
  /** \returns bytes given to SendBody() and not yet handed to the socket. */
  virtual base::ByteCount PendingBytes() const = 0;
  /** Sends a part of the body. \pre the request has a content length */
  virtual void SendBody(std::string_view aPart) = 0;
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
  /**
   * Uses a connection of its own. A kept connection may be closed by the
   * other side just as the request is sent, which leaves its outcome unknown.
   */
  bool mNeedsFreshConnection = false;
  base::Duration mConnectTimeout = std::chrono::seconds(2);
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
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /**
   * Starts a request; events go to \a aObserver, never before Send() returns.
   * \returns the exchange, valid until OnEnd(), OnFailure() or Cancel()
   */
  std::shared_ptr<ClientExchange> Send(
    const ClientRequest& aRequest, std::shared_ptr<ResponseObserver> aObserver);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::http
