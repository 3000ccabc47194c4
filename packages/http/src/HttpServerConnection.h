#pragma once

#include "http/src/ExchangeQueue.h"
#include "http/src/MessageReader.h"
#include "http/src/TcpStream.h"

#include <memory>
#include <string>
#include <string_view>

namespace auburnmux::http::internal {

/**
 * A persistent connection of a Server. It may read further requests while
 * earlier ones are unanswered; responses are sent in the order of the requests.
 */
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
    /** \returns whether a request is read while an earlier one of its
     * connection is unanswered. */
    virtual bool ReadsAhead() const = 0;
    /** \returns whether such a request is passed on before its turn. */
    virtual bool MayRunEarly(const RequestHead& aHead) const = 0;
    virtual void OnRequest(const std::shared_ptr<ServerExchangeImpl>&) = 0;
    /** The connection's socket is closed. */
    virtual void OnConnectionClosed(HttpServerConnection& aConnection) = 0;
  };

  HttpServerConnection(Owner& aOwner, int aDescriptor,
                       std::string aClientAddress);

  /** Refuses the request or closes the connection if a timeout expired. */
  void CheckTimeouts(base::TimePoint aNow);
  /** Closes the connection if it carries no request, and none has arrived. */
  void CloseIfIdle();
  /** Closes the connection after the response to the last request that was
   * read, if one is unanswered. */
  void CloseAfterResponses();
  /** Asks for responses that have not begun. */
  void RequestResponses(ResponseScope aScope);
  /** \returns the number of bytes that the client has not acknowledged. */
  std::size_t UnacknowledgedBytes() const
  {
    return mStream.UnacknowledgedBytes();
  }
  /** \returns the number of open exchanges. */
  std::size_t ExchangeCount() const { return mExchanges.Size(); }
  int Descriptor() const { return mDescriptor; }
  /** Closes the connection and ends its exchanges as incomplete. If the client
   * has sent something that was not read, the connection is reset, and the
   * client may lose what it has not acknowledged. */
  void Close();
  /** Same, but the kernel goes on delivering what the client has not
   * acknowledged: unread input is discarded first. */
  void CloseDelivering();
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
  /** \returns the bytes of \a aExchange's response, and of those before it,
   * that are not written to the socket yet. */
  /** \returns the account of the host's buffers, or null. */
  std::shared_ptr<buffering::HeldBytes> Account() const
  {
    return mOwner.Account();
  }
  std::size_t PendingBytes(const ServerExchangeImpl& aExchange) const;
  /** Ends \a aExchange and those behind it as incomplete. The connection
   * closes once the requests before it are answered. */
  void Abort(const ServerExchangeImpl& aExchange);
  /** Sends the queued bytes after the events of this loop iteration. */
  void FlushSoon();
  /** Resumes reading after the events of this loop iteration. */
  void ReadSoon();

private:
  bool MayRead() const;
  /** The client closed its sending side, or the connection broke. */
  void HandleHangUp(bool aIsBroken);
  /** \returns whether the connection is open and carries no request. */
  bool IsIdle() const
  {
    return mExchanges.IsEmpty() && !mIsReadingHead && !mIsLingering;
  }
  /** \returns whether the body of the last request is incomplete. */
  bool IsReadingBody() const;
  void Process();
  void ReadInput();
  /** \returns whether parsing should continue with the remaining input. */
  bool ParseInput();
  void BeginExchange();
  /** Passes the request on. */
  void Start(const std::shared_ptr<ServerExchangeImpl>& aExchange);
  /** Ends the last exchange as incomplete and refuses its request. */
  void Refuse(int aStatus, std::string_view aReason);
  /** Refuses a request whose head is incomplete or unacceptable. */
  void RefuseHead(int aStatus, std::string_view aReason);
  /** Ends the last exchange because the rest of its body is unacceptable. */
  void RefuseBody(int aStatus, std::string_view aReason);
  /** Answers a refused request, and closes the connection after it. */
  void RespondRefused(ServerExchangeImpl& aExchange, int aStatus,
                      std::string_view aReason);
  void FlushNow();
  /** Ends the first exchange; the next one has its turn. */
  void CompleteExchange();
  void EndExchanges();
  /**
   * Ends the sending direction and waits for the client to acknowledge all that
   * was sent, and then to close. A request that the client sent before it
   * noticed stays unread, so that it is not taken for one that may have run.
   */
  void BeginLingeringClose();
  /** Closes the connection if the client makes no progress. */
  void CheckLingeringClose(base::TimePoint aNow);
  /** Ends the exchanges as incomplete. The connection closes once the client
   * has acknowledged what was sent before. */
  void CloseAfterDelivery();
  /** Input of the lingering close was discarded. */
  void HandleDiscarded(std::size_t aBytes);
  /**
   * Discards a part of the input in the lingering close of a stopping server. A
   * client that writes a whole body before it reads the response gets on; a
   * server that read all bodies of refused requests at once would fill its link
   * with them, and the responses that it waits for would be late.
   */
  void DrainSlowly();

  Owner& mOwner;
  TcpStream mStream;
  int mDescriptor;
  std::string mClientAddress;
  buffering::ReadProgress mProgress;
  std::string mInput;
  std::size_t mInputStart = 0;
  std::unique_ptr<RequestReader> mReader;
  ExchangeQueue mExchanges;
  // Of the last request:
  std::uint64_t mBodyBytes = 0;
  /** The limit that was in force when the request began. */
  base::ByteCount mMaxBody;
  bool mIsContinueExpected = false;
  // Start of the idle time, of reading a head or of the lingering close, or the
  // last time that input of the lingering close was discarded.
  base::TimePoint mPhaseStart;
  bool mIsReadingHead = false;
  /** Whether an exchange was aborted before its turn, so that the connection
   * closes once those before it are answered. */
  bool mIsCut = false;
  bool mMayHaveUnread = true;
  bool mIsLingering = false;
  /** Whether the client closed its sending side during the lingering close. */
  bool mIsHungUp = false;
  /** Whether the client may still be sending a request that was answered or
   * refused, which is discarded in the lingering close. */
  bool mDrainsBody = false;
  /** Bytes discarded in the lingering close. */
  std::uint64_t mDiscardedBytes = 0;
  bool mIsFlushPosted = false;
  bool mIsReadPosted = false;
};

} // namespace auburnmux::http::internal
