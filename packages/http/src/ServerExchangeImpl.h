#pragma once

#include "buffering/Buffering.h"
#include "http/src/Server.h"

#include <cstddef>
#include <memory>
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
  bool HasTurn() const override { return mHasTurn; }
  base::ByteCount PendingBytes() const override;
  void Observe(std::unique_ptr<RequestObserver> aObserver) override;
  void PauseReading(bool aIsPaused) override;
  void SendHead(const ResponseHead& aHead) override;
  void SendBody(std::string_view aPart) override;
  void Finish() override;
  void Abort() override;

  /** Closes the connection after the response, and announces it in a head that
   * was not passed to the connection yet. */
  void CloseAfterResponse();
  bool ClosesAfter() const { return mClosesAfter; }
  /** \returns whether the whole response was queued. */
  bool IsFinished() const { return mIsFinished; }
  bool IsBodyEnded() const { return mIsBodyEnded; }
  /** \returns whether the delivery of body parts is paused. */
  bool IsPaused() const { return mIsPaused || mIsWaitingForObserver; }
  /** \returns whether the request was passed on or refused. Until then, its
   * body is not read. */
  bool IsStarted() const { return mIsStarted; }
  /** \returns the size of the part of the response that waits for its turn. */
  std::size_t WaitingBytes() const { return mWaiting.size(); }

  void HandleStarted() { mIsStarted = true; }
  /** The earlier requests of the connection were answered: the response goes
   * to the connection from now on. */
  void HandleTurn();
  /** Sends an interim response that asks for the body. */
  void SendContinue();
  void HandleBody(std::string_view aPart);
  void HandleBodyEnd();
  /** All queued bytes were written to the socket. */
  void HandleWritable();
  /** The response is needed now. */
  void HandleResponseDue();
  /** Ends the exchange and detaches it from the connection. */
  void HandleClosed(bool aIsComplete);

private:
  void DeliverEarlyEvents();
  void AppendChunk(std::string_view aPart);
  /** Passes a part of the response to the connection, or keeps it until its
   * turn. */
  void Write(std::string_view aBytes);
  void FlushSoon();

  HttpServerConnection* mConnection;
  RequestHead mHead;
  std::unique_ptr<RequestObserver> mObserver;
  std::string mEarlyBody;
  /** The part of the response that waits for its turn. */
  std::string mWaiting;
  buffering::Holding mWaitingAccount;
  /** Where the fields of the head end in mWaiting. */
  std::size_t mFieldsEnd = 0;
  bool mIsStarted = false;
  bool mHasTurn = false;
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

} // namespace auburnmux::http::internal
