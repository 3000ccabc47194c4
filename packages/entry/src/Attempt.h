#pragma once

#include "entry/src/Services.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburnmux::entry {

/** Receives the events of an Attempt. */
class AttemptObserver
{
public:
  virtual ~AttemptObserver() = default;
  /** The whole response arrived and is kept. */
  virtual void OnAttemptResponse() = 0;
  /** The response is longer than is kept: its head and the first part of its
   * body are there; the rest comes through OnAttemptBody(). */
  virtual void OnAttemptStreaming() = 0;
  virtual void OnAttemptBody(std::string_view aPart) = 0;
  virtual void OnAttemptFailed(const http::Failure& aFailure) = 0;
  virtual void OnAttemptWritable() = 0;
};

/** One request on its way to one upstream, and the response. */
class Attempt final
  : public http::ResponseObserver
  , public std::enable_shared_from_this<Attempt>
{
public:
  /** Longest response body that is kept before any of it is delivered. */
  static constexpr std::size_t kMaxKeptBody = std::size_t{ 256 } << 10U;

  Attempt(Services& aServices, AttemptObserver& aObserver,
          const placing::Placed& aPlace);

  /** Sends the request. */
  void Start(const http::ClientRequest& aRequest);
  /** Gives the attempt up; no event follows. */
  void Cancel();

  const placing::Placed& Place() const { return mPlace; }
  http::ClientExchange& Exchange() { return *mExchange; }
  const http::ResponseHead& Head() const { return mHead; }
  const std::string& Body() const { return mBody; }
  base::Duration Elapsed() const;
  /** \returns whether the response's head has arrived. */
  bool HasHead() const { return mHasHead; }

  void OnHead(const http::ResponseHead& aHead) override;
  void OnBody(std::string_view aPart) override;
  void OnEnd() override;
  void OnFailure(const http::Failure& aFailure) override;
  void OnWritable() override;

private:
  Services& mServices;
  AttemptObserver* mObserver;
  placing::Placed mPlace;
  std::shared_ptr<http::ClientExchange> mExchange;
  base::TimePoint mStart;
  http::ResponseHead mHead;
  std::string mBody;
  bool mHasHead = false;
  bool mIsStreaming = false;
};

} // namespace auburnmux::entry
