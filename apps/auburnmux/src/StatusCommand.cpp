#include "auburnmux/src/Commands.h"

#include "auburnmux/src/HostStatus.h"
#include "auburnmux/src/Text.h"

#include <algorithm>
#include <map>

namespace auburnmux::tool {

namespace {

/** A listed host and what it reported, if anything. */
struct AskedHost
{
  objects::ListedHost mListed;
  std::optional<HostStatus> mStatus;
  std::string mBody;
};

/** Totals of one service over all hosts. */
struct ServiceTotals
{
  std::size_t mHosts = 0;
  std::uint64_t mInFlight = 0;
  std::uint64_t mQueued = 0;
  std::map<std::string, std::size_t> mUpstreamStates;
};

std::vector<AskedHost> AskAll(Session& aSession,
                              const std::vector<objects::ListedHost>& aHosts)
{
  const auto answers = aSession.AskHosts(aHosts, "/v1/status");
  std::vector<AskedHost> asked;
  for (std::size_t it = 0; it < aHosts.size(); ++it) {
    asked.push_back({ aHosts[it], std::nullopt, {} });
    if (answers[it].IsOk()) {
      asked.back().mStatus = ParseHostStatus(answers[it].mBody);
      asked.back().mBody = answers[it].mBody;
    }
  }
  return asked;
}

/** Adds the hosts that the first one knows, at its port. */
std::vector<objects::ListedHost> WithKnownHosts(
  Session& aSession, const std::vector<objects::ListedHost>& aHosts)
{
  std::vector<objects::ListedHost> hosts = aHosts;
  const std::vector<AskedHost> first = AskAll(aSession, aHosts);
  if (first.empty() || !first.front().mStatus) {
    return hosts;
  }
  const http::Endpoint& via = aHosts.front().mEndpoint;
  for (const std::string& it : first.front().mStatus->mPeerAddresses) {
    if (it != via.mAddress) {
      hosts.push_back({ base::HostId(it), { it, via.mPort }, {}, false });
    }
  }
  return hosts;
}

std::string StateOf(const HostStatus& aStatus)
{
  if (aStatus.mIsLeaving) {
    return "leaving";
  }
  return aStatus.mIsReady ? "ready" : "starting";
}

/** \returns counts of equal texts, e.g. "5 alive, 1 dead". */
std::string CountsText(const std::map<std::string, std::size_t>& aCounts)
{
  std::string text;
  for (const auto& [state, n] : aCounts) {
    text +=
      (text.empty() ? "" : ", ") + std::to_string(n) + ' ' + Printable(state);
  }
  return text.empty() ? "-" : text;
}

std::vector<std::string> RowOf(const AskedHost& aHost)
{
  if (!aHost.mStatus) {
    return { aHost.mListed.mId.Text(), aHost.mListed.mDataCentre.Text(),
             "no answer" };
  }
  const HostStatus& status = *aHost.mStatus;
  std::map<std::string, std::size_t> peers;
  for (const std::string& it : status.mPeerStates) {
    ++peers[it];
  }
  return { status.mHost.Text(),
           status.mDataCentre.Text(),
           StateOf(status),
           std::to_string(status.mConfig.mVersion.Count()),
           status.mIsConfirmed ? "yes" : "no",
           std::to_string(static_cast<std::uint64_t>(status.mConfigAge)) + " s",
           CountsText(peers) };
}

std::map<std::string, ServiceTotals> TotalsOf(
  const std::vector<AskedHost>& aHosts)
{
  std::map<std::string, ServiceTotals> totals;
  for (const AskedHost& host : aHosts) {
    if (!host.mStatus) {
      continue;
    }
    for (const ServiceStatus& it : host.mStatus->mServices) {
      ServiceTotals& total = totals[it.mService.Text()];
      ++total.mHosts;
      total.mInFlight += it.mInFlight.Count();
      total.mQueued += it.mQueued.Count();
      for (const std::string& state : it.mUpstreamStates) {
        ++total.mUpstreamStates[state];
      }
    }
  }
  return totals;
}

void PrintTables(const std::vector<AskedHost>& aHosts, std::ostream& aOut)
{
  TableRows hosts{ { "HOST", "DATA CENTRE", "STATE", "VERSION", "CONFIRMED",
                     "AGE", "PEERS" } };
  for (const AskedHost& it : aHosts) {
    hosts.push_back(RowOf(it));
  }
  PrintTable(hosts, aOut);
  TableRows services{ { "SERVICE", "HOSTS", "IN FLIGHT", "QUEUED",
                        "UPSTREAMS AS SEEN BY HOSTS" } };
  for (const auto& [name, it] : TotalsOf(aHosts)) {
    services.push_back(
      { name, std::to_string(it.mHosts), std::to_string(it.mInFlight),
        std::to_string(it.mQueued), CountsText(it.mUpstreamStates) });
  }
  aOut << '\n';
  PrintTable(services, aOut);
}

void PrintStatusJson(const std::vector<AskedHost>& aHosts, std::ostream& aOut)
{
  nlohmann::json list = nlohmann::json::array();
  for (const AskedHost& it : aHosts) {
    nlohmann::json entry = { { "host", it.mListed.mId.Text() },
                             { "answered", it.mStatus.has_value() } };
    if (it.mStatus) {
      entry["status"] = nlohmann::json::parse(it.mBody, nullptr, false);
    }
    list.push_back(std::move(entry));
  }
  PrintJson(list, aOut);
}

} // namespace

ExitCode RunStatus(const Options& aOptions, Session& aSession,
                   const Output& aOutput)
{
  const objects::HostsResult result = aSession.Hosts();
  const auto* hosts = std::get_if<std::vector<objects::ListedHost>>(&result);
  if (hosts == nullptr) {
    aOutput.mError << "status: the platform's list of hosts can't be read; "
                      "name hosts with --host\n";
    return ExitCode::Failed;
  }
  const std::vector<AskedHost> asked =
    AskAll(aSession, aOptions.mVia ? WithKnownHosts(aSession, *hosts) : *hosts);
  if (aOptions.mIsJson) {
    PrintStatusJson(asked, aOutput.mOut);
  } else {
    PrintTables(asked, aOutput.mOut);
  }
  const bool hasAnswer =
    std::any_of(asked.begin(), asked.end(), [](const AskedHost& aHost) {
      return aHost.mStatus.has_value();
    });
  return hasAnswer ? ExitCode::Done : ExitCode::Failed;
}

} // namespace auburnmux::tool
