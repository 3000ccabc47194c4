#include "auburnmux/src/InForceWait.h"

#include "auburnmux/src/HostStatus.h"

namespace auburnmux::tool {

namespace {

using HostVector = std::vector<objects::ListedHost>;

constexpr base::Duration kPollPeriod = std::chrono::milliseconds(100);

/**
 * Asks the hosts once and notes in the report which don't have the version.
 * \returns those hosts.
 */
HostVector AskOnce(Session& aSession, const HostVector& aHosts,
                   base::ConfigVersion aVersion, InForceReport& aReport)
{
  aReport.mBehind.clear();
  aReport.mSilent.clear();
  HostVector missing;
  const auto answers = aSession.AskHosts(aHosts, "/v1/status");
  for (std::size_t it = 0; it < aHosts.size(); ++it) {
    const auto status =
      answers[it].IsOk() ? ParseHostStatus(answers[it].mBody) : std::nullopt;
    const std::string& name = aHosts[it].mId.Text();
    if (!status) {
      aReport.mSilent.push_back(name);
      missing.push_back(aHosts[it]);
    } else if (status->mConfig.mVersion < aVersion) {
      aReport.mBehind.push_back(
        name + " (version " + std::to_string(status->mConfig.mVersion.Count()) +
        ')');
      missing.push_back(aHosts[it]);
    }
  }
  return missing;
}

} // namespace

InForceReport WaitUntilInForce(Session& aSession, base::ConfigVersion aVersion,
                               base::Duration aWait)
{
  InForceReport report;
  const base::TimePoint start = aSession.Now();
  const objects::HostsResult result = aSession.Hosts();
  const auto* hosts = std::get_if<HostVector>(&result);
  if (hosts == nullptr) {
    return report;
  }
  report.mIsListKnown = true;
  report.mHosts = hosts->size();
  HostVector missing = *hosts;
  while (true) {
    missing = AskOnce(aSession, missing, aVersion, report);
    report.mTook = aSession.Now() - start;
    if (missing.empty() || report.mTook >= aWait) {
      return report;
    }
    aSession.Pause(kPollPeriod);
  }
}

} // namespace auburnmux::tool
