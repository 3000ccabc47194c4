#pragma once

#include "http/Http.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace auburnmux::standins {

/** Asks entry hosts which hosts to use, and keeps answers for their lifetime.
 */
class LookupCache
{
public:
  /** Receives the hosts, best first; empty when no entry host answers. */
  using OnHosts = std::function<void(const std::vector<http::Endpoint>&)>;

  LookupCache(http::Loop& aLoop, http::Client& aClient,
              std::vector<http::Endpoint> aEntries, std::string aDataCentre);

  void Ask(const std::string& aService, OnHosts aOnHosts);
  /** Forgets the answer, because its hosts couldn't be used. */
  void Drop(const std::string& aService);
  std::uint64_t Lookups() const { return mLookups; }

private:
  struct Entry
  {
    std::vector<http::Endpoint> mHosts;
    base::TimePoint mExpires;
    std::vector<OnHosts> mWaiting;
  };

  void Send(const std::string& aService, std::size_t aTry);
  void HandleResult(const std::string& aService, std::size_t aTry,
                    const http::FetchResult& aResult);

  http::Loop& mLoop;
  http::Client& mClient;
  std::vector<http::Endpoint> mEntries;
  std::string mDataCentre;
  std::map<std::string, Entry> mCache;
  std::uint64_t mLookups = 0;
};

} // namespace auburnmux::standins
