#pragma once

#include "standins/src/Exchange.h"
#include "standins/src/HostList.h"
#include "standins/src/ObjectStore.h"

#include <cstdint>
#include <list>
#include <map>

namespace auburnmux::standins {

/** What goes wrong at the platform. */
struct PlatformFaults
{
  /** Breaks every connection that carries a request. */
  bool mIsDown = false;
  /** Half passes before a call takes effect, half before its answer. */
  base::Duration mDelay{};
  /** Writes to apply whose connection is then broken. */
  std::uint64_t mLostAnswers = 0;
  base::Duration mStaleness{};
  /** Requests to leave without effect and without an answer. */
  std::uint64_t mDroppedRequests = 0;
};

struct PlatformSettings
{
  http::Endpoint mListen;
  HostListLags mLags;
  base::Duration mWatchTimeout = std::chrono::seconds(30);
};

/** The platform's object API and host list, with faults on demand. */
class Platform
{
public:
  Platform(http::Loop& aLoop, const PlatformSettings& aSettings);

  bool IsListening() const { return mServer.IsListening(); }

private:
  struct Call
  {
    ExchangePtr mExchange;
    std::string mKind;
    std::string mName;
    std::string mBody;
  };
  struct Watcher
  {
    ExchangePtr mExchange;
    std::string mName;
    base::ObjectVersion mAbove;
    http::Loop::TimerId mTimer;
  };

  void HandleRequest(const ExchangePtr& aExchange);
  void HandleControl(const ExchangePtr& aExchange, const std::string& aBody);
  void SetFaults(const Json& aFaults);
  void Accept(Call aCall);
  void Apply(const Call& aCall);
  void ApplyWrite(const Call& aCall);
  void ApplyRead(const Call& aCall);
  void ApplyWatch(const Call& aCall);
  void Wake(const std::string& aName);
  void BreakWatches();
  /** Runs \a aTask after half of the delay. */
  void Later(http::Loop::Task aTask);
  void Answer(const Call& aCall, int aStatus, const Json& aBody,
              http::Headers aHeaders = {});
  void AnswerObject(const ExchangePtr& aExchange, const ObjectState& aState);

  http::Loop& mLoop;
  base::Duration mWatchTimeout;
  ObjectStore mStore;
  HostList mHosts;
  PlatformFaults mFaults;
  std::map<std::string, std::uint64_t> mCounts;
  std::list<Watcher> mWatchers;
  std::list<ExchangePtr> mDropped;
  http::Server mServer;
};

} // namespace auburnmux::standins
