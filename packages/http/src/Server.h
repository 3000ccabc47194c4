#pragma once

#include "buffering/Buffering.h"
#include "http/src/Loop.h"
#include "http/src/Message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburnmux::http {

/** Size limits and timeouts of a Server for its callers. */
struct ServerLimits
{
  base::ByteCount mMaxHead{ 16384 };
  base::ByteCount mMaxBody{ std::uint64_t{ 1 } << 40U };
  /** Maximum time from the first byte of a head to its last. */
  base::Duration mHeadTimeout = std::chrono::seconds(10);
  /** Maximum idle time of a connection between two requests. */
  base::Duration mIdleTimeout = std::chrono::seconds(60);
};

/** Options of a Server. */
struct ServerOptions
{
  /**
   * Tells from the head of a request whether it may run while earlier ones of
   * its connection are unanswered. Others wait until those are answered. If
   * unset, a request is not read before.
   */
  std::function<bool(const RequestHead&)> mMayRunEarly;
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
  /** All data passed to SendBody() was written to the socket. */
  virtual void OnWritable() {}
  /** The earlier requests of the connection were answered, see
   * ServerExchange::HasTurn(). */
  virtual void OnTurn() {}
  /** The response, of which nothing was sent yet, is needed now: the server is
   * about to end, and later ones can't be delivered. */
  virtual void OnResponseDue() {}
  /**
   * The exchange has ended. \a aIsComplete tells whether the complete response
   * was written to the socket. No other call follows.
   */
  virtual void OnClosed(bool aIsComplete) = 0;
};

/** One request received by a Server, and its response. */
class ServerExchange
{
public:
  virtual ~ServerExchange() = default;

  virtual const RequestHead& Head() const = 0;
  /** \returns whether the exchange has ended; sends are then ignored. */
  virtual bool IsClosed() const = 0;
  virtual bool IsHeadSent() const = 0;
  /** \returns whether the response goes to the client as it is sent. Before, it
   * waits until the earlier requests of the connection are answered. */
  virtual bool HasTurn() const = 0;
  /** \returns the number of queued bytes not yet written to the socket,
   * including those of earlier responses of the connection. */
  virtual base::ByteCount PendingBytes() const = 0;

  /** Installs the observer. Earlier body events are delivered to it. */
  virtual void Observe(std::unique_ptr<RequestObserver> aObserver) = 0;
  /** Pauses or resumes the delivery of body parts (back-pressure). */
  virtual void PauseReading(bool aIsPaused) = 0;

  virtual void SendHead(const ResponseHead& aHead) = 0;
  /** \pre SendHead() was called */
  virtual void SendBody(std::string_view aPart) = 0;
  /** Ends the response. \pre the body sent has the length given in the head */
  virtual void Finish() = 0;
  /** Closes the connection, so that the caller doesn't mistake a partial
   * response for a complete one. Earlier requests of the connection are
   * answered first. */
  virtual void Abort() = 0;

  /** Sends a complete response. \pre SendHead() was not called */
  void Respond(int aStatus, Headers aHeaders, std::string_view aBody);
};

/** A client that has not read all of what a Server queued for it. */
struct SlowReader
{
  /** Descriptor of its connection. */
  int mDescriptor = -1;
  std::string mAddress;
  buffering::HeldClient mHeld;
};

/** Which of the responses that have not begun are requested. */
enum class ResponseScope
{
  /** Those for which finished responses of their connection wait. */
  Blocking,
  All
};

/** Observes when connections of a Server are opened and closed. */
class ConnectionObserver
{
public:
  virtual ~ConnectionObserver() = default;
  /** \returns whether to accept the new connection on \a aDescriptor. */
  virtual bool OnOpen(int aDescriptor) = 0;
  /** An accepted connection was closed; its descriptor is no longer valid. */
  virtual void OnClose(int aDescriptor) = 0;
};

/** An HTTP/1.1 server on one address. */
class Server
{
public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  /**
   * Listens on \a aListen and passes each request to \a aHandler once its head
   * is complete. Requests with an unacceptable head are refused with a 4xx or
   * 5xx before the handler sees them. One whose body turns out to be too large
   * ends as incomplete for its observer, and is refused in its place. \a
   * aConnectionObserver is optional and must outlive the server.
   */
  Server(Loop& aLoop, const Endpoint& aListen, Handler aHandler,
         ConnectionObserver* aConnectionObserver = nullptr,
         ServerOptions aOptions = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** \returns whether the address could be bound. */
  bool IsListening() const;
  /** \returns the number of open requests. */
  std::size_t ActiveExchanges() const;
  /**
   * Asks callers to reconnect: the response to the last request that was read
   * on a connection carries `Connection: close`, and so does every response to
   * a later one.
   */
  void CloseAfterResponses();
  /** Asks for responses that have not begun, see
   * RequestObserver::OnResponseDue(). */
  void RequestResponses(ResponseScope aScope);
  /** \returns the number of bytes that clients have not acknowledged. */
  base::ByteCount UnacknowledgedBytes() const;
  /** Closes the connections without an open request. */
  void CloseIdle();
  /** Refuses new connections from now on. */
  void StopListening();
  /** Sets the limits. Those of sizes apply to requests that begin later, those
   * of times at once. */
  void SetLimits(const ServerLimits& aLimits);
  /** Counts the bytes queued to clients in \a aAccount, and bounds those that
   * the kernel holds unsent, for connections that are opened from now on. */
  void CountHeldBytes(std::shared_ptr<buffering::HeldBytes> aAccount);
  /** Samples the progress of all clients. \returns those that have not read
   * all */
  std::vector<SlowReader> SampleReaders();
  /** Closes a client's connection and discards what it has not read. */
  void CloseReader(const SlowReader& aReader);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::http
