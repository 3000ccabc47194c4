#pragma once

#include "http/Http.h"
#include "objects/src/CallBudget.h"
#include "objects/src/CallResult.h"

#include <functional>
#include <string>
#include <variant>

namespace auburnmux::objects {

/** Create the object; an existing one is a conflict. */
struct IfAbsent
{};
/** Change the object only while it has this version. */
struct IfVersion
{
  base::ObjectVersion mVersion;
};
/** Every write has a condition; there is no blind one. */
using WriteCondition = std::variant<IfAbsent, IfVersion>;

/** What a call is for and how long it may take. */
struct CallOptions
{
  CallPurpose mPurpose = CallPurpose::ConfigRead;
  base::Duration mTimeout = std::chrono::seconds(2);
};

/** Largest value that the platform holds. */
constexpr base::ByteCount kMaxValueBytes{ 1'000'000 };

/** How long the platform holds a watch open, with room for its answer. */
constexpr base::Duration kWatchTimeout = std::chrono::seconds(35);

/**
 * Calls of the platform's object API. Each call takes from the budget of its
 * purpose and reports its result exactly once within its timeout, never before
 * the call returns. Nothing is repeated here; callers use Backoff.
 */
class PlatformClient
{
public:
  template<typename Result>
  using Done = std::function<void(const Result&)>;

  PlatformClient(http::Loop& aLoop, http::Client& aClient,
                 http::Endpoint aPlatform, CallBudget aBudget = CallBudget());

  void Get(const std::string& aName, CallOptions aOptions,
           Done<GetResult> aDone);
  /** Waits for a version above \a aAbove; 0 waits for the object. */
  void Watch(const std::string& aName, base::ObjectVersion aAbove,
             CallOptions aOptions, Done<WatchResult> aDone);
  void Put(const std::string& aName, const std::string& aBytes,
           const WriteCondition& aCondition, CallOptions aOptions,
           Done<PutResult> aDone);
  void Delete(const std::string& aName, base::ObjectVersion aIfVersion,
              CallOptions aOptions, Done<DeleteResult> aDone);
  /** Lists the objects whose names start with \a aPrefix. */
  void List(const std::string& aPrefix, CallOptions aOptions,
            Done<ListResult> aDone);
  /** Reads the lagging list of hosts. */
  void Hosts(CallOptions aOptions, Done<HostsResult> aDone);

  const CallBudget& Budget() const { return mBudget; }

private:
  http::ClientRequest Request(const char* aMethod,
                              const std::string& aTarget) const;
  template<typename Result>
  void Send(const http::ClientRequest& aRequest, const std::string& aBody,
            CallOptions aOptions, Done<Result> aDone,
            Result (*aRead)(const http::FetchResult&));
  template<typename Result>
  void Refuse(CallRefused::Reason aReason, Done<Result> aDone);

  http::Loop& mLoop;
  http::Client& mClient;
  http::Endpoint mPlatform;
  CallBudget mBudget;
};

} // namespace auburnmux::objects
