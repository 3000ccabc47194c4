#pragma once

#include "http/Http.h"
#include "objects/src/CallBudget.h"
#include "objects/src/CallResult.h"

#include <functional>
#include <string>
#include <variant>

namespace auburnmux::objects {

/** Creates the object; fails if it exists. */
struct IfAbsent
{};
/** Replaces the object; fails if it has another version. */
struct IfVersion
{
  base::ObjectVersion mVersion;
};
/** Condition of a write. Unconditional writes aren't supported. */
using WriteCondition = std::variant<IfAbsent, IfVersion>;

/** Purpose and timeout of a call. */
struct CallOptions
{
  CallPurpose mPurpose = CallPurpose::ConfigRead;
  base::Duration mTimeout = std::chrono::seconds(2);
};

/** Maximum size of a value that the platform accepts. */
constexpr base::ByteCount kMaxValueBytes{ 1'000'000 };

/** Timeout of a watch: the time for which the platform keeps it open, and a
 * margin for the answer. */
constexpr base::Duration kWatchTimeout = std::chrono::seconds(35);

/**
 * Client of the platform's object API. Each call takes a token from the bucket
 * of its purpose. Its result is reported exactly once, within the timeout and
 * never before the function returns. The client doesn't retry; the calling code
 * does so with Backoff.
 */
class PlatformClient
{
public:
  template<typename Result>
  using Done = std::function<void(const Result&)>;

  /** \returns the options of connections to the platform. A watch whose
   * connection became silent has to end well within the time in which a change
   * has to be in force. */
  static http::ClientOptions ConnectionOptions();

  PlatformClient(http::Loop& aLoop, http::Client& aClient,
                 http::Endpoint aPlatform, CallBudget aBudget = CallBudget());

  void Get(const std::string& aName, CallOptions aOptions,
           Done<GetResult> aDone);
  /** Waits for a version above \a aAbove; 0 waits until the object exists. */
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
  /** Reads the list of hosts, which may be out of date. */
  void ListHosts(CallOptions aOptions, Done<HostsResult> aDone);

  const CallBudget& Budget() const { return mBudget; }

private:
  http::ClientRequest MakeRequest(const char* aMethod,
                                  const std::string& aTarget) const;
  template<typename Result>
  void Send(const http::ClientRequest& aRequest, const std::string& aBody,
            CallOptions aOptions, Done<Result> aDone,
            Result (*aReadResult)(const http::FetchResult&));
  template<typename Result>
  /** Reports CallRefused in the next turn of the loop. */
  void Refuse(CallRefused::Reason aReason, Done<Result> aDone);

  http::Loop& mLoop;
  http::Client& mClient;
  http::Endpoint mPlatform;
  CallBudget mBudget;
};

} // namespace auburnmux::objects
