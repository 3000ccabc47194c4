#pragma once

#include "http/src/Loop.h"
#include "http/src/Message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace auburnmux::http {

/** What callers of a Server may send, and how slowly. */
struct ServerLimits
{
  base::ByteCount mMaxHead{ 16384 };
  base::ByteCount mMaxBody{ std::uint64_t{ 1 } << 40U };
  /** Longest time from the first byte of a head to its last. */
  base::Duration mHeadTimeout = std::chrono::seconds(10);
  /** Longest time between two requests on a connection. */
  base::Duration mIdleTimeout = std::chrono::seconds(60);
};

/** Receives the events of one request; a ServerExchange owns it. */
class RequestObserver
{
public:
  virtual ~RequestObserver() = default;
  /** A part of the body arrived. */
  virtual void OnBody(std::string_view aPart) = 0;
  /** The body is complete. */
  virtual void OnBodyEnd() = 0;
  /** All data given to SendBody() was handed to the socket. */
  virtual void OnWritable() {}
  /**
   * The exchange is over: \a aIsComplete tells whether the whole response was
   * handed to the socket. No other call follows.
   */
  virtual void OnClosed(bool aIsComplete) = 0;
};

/** One request at the server and its response. */
class ServerExchange
{
public:
  virtual ~ServerExchange() = default;

  virtual const RequestHead& Head() const = 0;
  /** \returns whether the connection is gone; sends are then ignored. */
  virtual bool IsClosed() const = 0;
  virtual bool IsHeadSent() const = 0;
  /** \returns bytes given to SendBody() and not yet handed to the socket. */
  virtual base::ByteCount PendingBytes() const = 0;

  /** Installs the observer. Events before that are kept. */
  virtual void Observe(std::unique_ptr<RequestObserver> aObserver) = 0;
  /** Stops or resumes the arrival of body parts (back-pressure). */
  virtual void PauseReading(bool aIsPaused) = 0;

  virtual void SendHead(const ResponseHead& aHead) = 0;
  /** \pre SendHead() was called */
  virtual void SendBody(std::string_view aPart) = 0;
  /** Ends the response. \pre the body is as long as the head announced */
  virtual void Finish() = 0;
  /** Breaks the connection, so that no caller takes a part for the whole. */
  virtual void Abort() = 0;

  /** Sends a whole response. \pre SendHead() was not called */
  void Respond(int aStatus, Headers aHeaders, std::string_view aBody);
};

/** Sees the connections of a Server, apart from their requests. */
class ConnectionObserver
{
public:
  virtual ~ConnectionObserver() = default;
  /** \returns whether the new connection on \a aDescriptor is kept. */
  virtual bool OnOpen(int aDescriptor) = 0;
  /** A connection that was kept is gone; so is its descriptor. */
  virtual void OnClose(int aDescriptor) = 0;
};

/** An HTTP/1.1 server on one address. */
class Server
{
public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  /**
   * Listens on \a aListen and hands each request to \a aHandler once its
   * head has arrived. Requests with an unacceptable head are refused with a
   * 4xx or 5xx before the handler sees them. \a aConnections is optional and
   * must outlive the server.
   */
  Server(Loop& aLoop, const Endpoint& aListen, Handler aHandler,
         ConnectionObserver* aConnections = nullptr);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** \returns whether the address could be bound. */
  bool IsListening() const;
  /** \returns open connections that carry a request. */
  std::size_t ActiveExchanges() const;
  /**
   * Asks callers to move on: every response from now on carries
   * `Connection: close`.
   */
  void CloseAfterResponses();
  /** Closes the connections on which no request is open. */
  void CloseIdle();
  /** Refuses connections from now on. */
  void StopListening();
  /** Applies to requests that begin from now on. */
  void SetLimits(const ServerLimits& aLimits);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::http
