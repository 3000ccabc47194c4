#pragma once

#include "carriage/Carriage.h"
#include "entry/src/Services.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace auburnmux::entry {

/** Receives the events of an Attempt. */
class AttemptObserver
{
public:
  virtual ~AttemptObserver() = default;
  /** \returns whether a part of the response may be passed on now. */
  virtual bool MayStream() const = 0;
  /** The response is complete and was buffered whole. */
  virtual void OnAttemptResponse() = 0;
  /** The response exceeds the buffer limit. Its head and the buffered part of
   * its body are available; the rest arrives through OnAttemptBody(). */
  virtual void OnAttemptStreaming() = 0;
  virtual void OnAttemptBody(std::string_view aPart) = 0;
  virtual void OnAttemptFailed(const http::Failure& aFailure) = 0;
  virtual void OnAttemptWritable() = 0;
};

/** One attempt to send a request to an upstream, and its response. */
class Attempt final
  : public http::ResponseObserver
  , public std::enable_shared_from_this<Attempt>
{
public:
  /** Longest body of a rejection that is read, so that the connection can carry
   * other requests. */
  static constexpr std::size_t kMaxRejectionBodyBytes = std::size_t{ 16 }
                                                        << 10U;

  Attempt(Services& aServices, std::weak_ptr<AttemptObserver> aObserver,
          const placing::Placed& aPlace);

  /** Sends the request. */
  void Start(const http::ClientRequest& aRequest);
  /** Cancels the attempt; no event follows. */
  void Cancel();
  /**
   * A response beyond the buffer limit may be streamed from now on. What has
   * arrived is read first, so that a response that was cut while it waited
   * fails before a part of it is passed on.
   */
  void HandleTurn();

  const placing::Placed& Place() const { return mPlace; }
  http::ClientExchange& Exchange() { return *mExchange; }
  const http::ResponseHead& Head() const { return mHead; }
  const std::string& Body() const { return mBody; }
  /** \returns the buffered body, which is no longer kept. */
  std::string TakeBody()
  {
    mHolding.Set(0);
    return std::exchange(mBody, {});
  }
  base::Duration Elapsed() const;
  /** \returns what the response's head states; empty before its arrival. */
  const ResponseFields& Fields() const { return mFields; }
  /** \returns whether the response's head has arrived. */
  bool HasHead() const { return mHasHead; }
  /** \returns what the response shows about the request.
   * \pre its head has arrived, and OnAttemptFailed() was not called */
  const carriage::ResponseClassification& Classification() const
  {
    return *mClassification;
  }

  void OnHead(const http::ResponseHead& aHead) override;
  void OnBody(std::string_view aPart) override;
  void OnEnd() override;
  void OnFailure(const http::Failure& aFailure) override;
  void OnWritable() override;

private:
  /** \returns whether the upstream stated that it didn't run the request, so
   * that another attempt may follow and the body is not needed. */
  bool IsRejection() const
  {
    return mClassification && mClassification->mIsNotRun;
  }
  void BeginStreaming();
  /** Ends the attempt before the rest of a rejection's body has arrived. */
  void EndRejection();
  /** Fails the attempt, as its response shows no outcome of the request. */
  void FailUnproven();
  /** Applies what the head states about the upstream itself. */
  void ReportUpstream();
  /** Logs for how long the upstream wants no requests. */
  void LogRetryAfter() const;
  /** Logs the limit that the upstream named or no longer names. */
  void LogLimit() const;

  Services& mServices;
  /** Expired once no event is to follow. */
  std::weak_ptr<AttemptObserver> mObserver;
  placing::Placed mPlace;
  std::shared_ptr<http::ClientExchange> mExchange;
  base::TimePoint mStart;
  http::ResponseHead mHead;
  ResponseFields mFields;
  /** None before the head has arrived, and if it shows no outcome. */
  std::optional<carriage::ResponseClassification> mClassification;
  std::string mBody;
  buffering::Holding mHolding;
  /** Bytes of a rejection's body that were dropped. */
  std::size_t mDroppedBytes = 0;
  bool mHasHead = false;
  bool mIsStreaming = false;
  /** Whether reading is paused until the response may be streamed. */
  bool mIsHeld = false;
  /** Whether what arrived meanwhile is being read. */
  bool mIsCatchingUp = false;
};

} // namespace auburnmux::entry
