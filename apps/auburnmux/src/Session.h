#pragma once

#include "auburnmux/src/CommandLine.h"
#include "objects/Objects.h"

#include <string>
#include <vector>

namespace auburnmux::tool {

/**
 * The tool's calls of the platform and of hosts. Each member serves the loop
 * until its call is answered or has timed out.
 */
class Session
{
public:
  Session(http::Loop& aLoop, const Options& aOptions);

  objects::GetResult Get(const std::string& aName,
                         objects::CallPurpose aPurpose);
  objects::PutResult Put(const std::string& aName, const std::string& aBytes,
                         const objects::WriteCondition& aCondition);
  /** \returns the hosts to ask: the given ones, or those listed. */
  objects::HostsResult Hosts();
  /** Asks all hosts at once. \returns the answers in the hosts' order. */
  std::vector<http::FetchResult> AskHosts(
    const std::vector<objects::ListedHost>& aHosts, const std::string& aTarget);
  /** Serves the loop for a while. */
  void Pause(base::Duration aTime);
  /** Pauses for the backoff after the n-th failure in a row. */
  void PauseAfterFailure(std::uint32_t aFailures);

  base::TimePoint Now() const { return mLoop.Now(); }
  base::Random& RandomSource() { return mRandom; }

private:
  template<typename Result, typename Call>
  Result Wait(Call aCall);

  http::Loop& mLoop;
  const Options& mOptions;
  http::Client mHttp;
  objects::PlatformClient mPlatform;
  base::Random mRandom;
};

} // namespace auburnmux::tool
