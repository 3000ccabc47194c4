#pragma once

#include "buffering/Buffering.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace auburnmux::carriage {

/**
 * The body of a request on its way from the client to an upstream. A short body
 * is buffered, so that it can be sent again. A longer one is sent once, while
 * it arrives; what arrives while no attempt takes it is kept, and the client is
 * to be paused.
 */
class RequestBody
{
public:
  /** What to do with a part that has arrived. */
  enum class Arrival
  {
    /** It was buffered; more may follow. */
    Buffered,
    /** It was buffered, and the body is too long to be sent again: the request
     * is ready to be sent. */
    Overflowed,
    /** It was kept; the client is to be paused until an attempt begins. */
    Kept,
    /** It is to be sent to the attempt. */
    Forward
  };

  /**
   * \param aMaxBuffered longest body that can be sent again, in bytes
   * \param aAccount counts what is held; null if nothing does
   */
  explicit RequestBody(
    std::size_t aMaxBuffered,
    std::shared_ptr<buffering::HeldBytes> aAccount = nullptr);

  /** Sets how much is buffered from now on, at most the maximum. */
  void SetBound(std::size_t aBound);
  Arrival OnPart(std::string_view aPart);
  void OnEnd() { mIsComplete = true; }
  /** An attempt begins. \returns what has arrived so far and is to be sent to
   * it. \pre MayBeSent() */
  std::string OnAttemptBegins();
  /** The attempt takes no more parts. */
  void OnAttemptEnded() { mHasAttempt = false; }
  /** Frees what is held. No further attempt begins. */
  void Release();

  /**
   * \returns how much of the body is in flight to the upstream of the attempt:
   * all that it has not acknowledged, also what has yet to arrive here. If it
   * has acknowledged everything that it was sent, it is the client that is
   * slow, and nothing is in flight.
   * \param aSize size of the body, as far as is known
   * \param aUnacknowledged sent and queued bytes that are not acknowledged
   */
  std::size_t InFlight(std::size_t aSize, std::size_t aUnacknowledged) const;
  /** \returns whether the whole body has arrived. */
  bool IsComplete() const { return mIsComplete; }
  /** \returns whether the body is too long to be sent again. */
  bool IsStreamed() const { return mIsStreamed; }
  /** \returns whether an attempt can get the whole body: a streamed one was not
   * sent before. */
  bool MayBeSent() const { return !mIsStreamed || !mWasSent; }
  /** \returns whether an attempt takes the parts. */
  bool HasAttempt() const { return mHasAttempt; }
  /** \returns the size of what is held. */
  std::size_t Size() const { return mHeld.size(); }
  /** \returns the first bytes of the body, which identify it: all of a body
   * that is not streamed, and of others as many as fit the bound. */
  std::string_view Prefix() const;

private:
  std::size_t mMaxBuffered;
  std::size_t mBound;
  std::string mHeld;
  buffering::Holding mHolding;
  bool mIsComplete = false;
  bool mIsStreamed = false;
  bool mWasSent = false;
  bool mHasAttempt = false;
  /** Bytes that the attempt was given. */
  std::size_t mGiven = 0;
};

} // namespace auburnmux::carriage
