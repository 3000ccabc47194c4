#pragma once

#include "http/src/Server.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

struct lws;

namespace auburnmux::http::internal {

/** One request on a libwebsockets server connection. */
class ServerConnection final : public ServerExchange
{
public:
  ServerConnection(lws* aWsi, RequestHead aHead);

  const RequestHead& Head() const override { return mHead; }
  bool IsClosed() const override { return mWsi == nullptr; }
  bool IsHeadSent() const override { return mIsHeadSent; }
  base::ByteCount PendingBytes() const override;
  void Observe(std::unique_ptr<RequestObserver> aObserver) override;
  void PauseReading(bool aIsPaused) override;
  void SendHead(const ResponseHead& aHead) override;
  void SendBody(std::string_view aPart) override;
  void Finish() override;
  void Abort() override;

  /** Says that the connection closes once this response is sent. */
  void CloseAfterResponse() { mClosesAfter = true; }
  /** \returns whether the whole response waits to be written. */
  bool IsFinished() const { return mIsFinished; }
  bool IsAborted() const { return mIsAborted; }

  void HandleBody(std::string_view aPart);
  void HandleBodyEnd();
  /** Writes what is pending. \returns 0, or -1 to close the connection. */
  int HandleWritable();
  void HandleClosed();

private:
  void DeliverEarlyEvents();
  void ApplyFlowControl();
  bool WritePending();
  int Complete();
  bool IsBodyDiscardable() const;
  void RequestWritable();
  void AppendChunk(std::string_view aPart);

  lws* mWsi;
  RequestHead mHead;
  std::unique_ptr<RequestObserver> mObserver;
  // Response bytes with room in front for libwebsockets; mOutStart is the
  // first byte that was not yet written.
  std::string mOut;
  std::size_t mOutStart = 0;
  std::string mEarlyBody;
  std::size_t mBodyLeft = 0;
  bool mIsBodyEnded = false;
  bool mIsBodyEndDelivered = false;
  bool mIsReadingPaused = false;
  // Body parts wait for the observer to be installed.
  bool mIsHeld = false;
  bool mIsStopped = false;
  bool mIsHeadSent = false;
  bool mIsChunked = false;
  bool mIsFinished = false;
  // Whether any byte of the response was written.
  bool mIsStarted = false;
  bool mIsWritten = false;
  bool mIsAborted = false;
  bool mClosesAfter = false;
};

} // namespace auburnmux::http::internal
