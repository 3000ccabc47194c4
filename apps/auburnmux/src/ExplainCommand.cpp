#include "auburnmux/src/Commands.h"

#include "auburnmux/src/Text.h"

#include <algorithm>

namespace auburnmux::tool {

namespace {

/** Hosts of the data centre first, leaving ones last. */
void SortByNearness(std::vector<objects::ListedHost>& aHosts,
                    const base::DataCentreId& aDataCentre)
{
  std::stable_sort(
    aHosts.begin(), aHosts.end(),
    [&](const objects::ListedHost& aLeft, const objects::ListedHost& aRight) {
      const auto rank = [&](const objects::ListedHost& aHost) {
        return (aHost.mDataCentre == aDataCentre ? 0 : 2) +
               (aHost.mIsLeaving ? 1 : 0);
      };
      return rank(aLeft) < rank(aRight);
    });
}

std::string TargetOf(const Options& aOptions)
{
  return "/v1/explain?service=" + aOptions.mService.Text() +
         "&data_centre=" + aOptions.mFrom.Text() +
         "&method=" + PercentEncoded(aOptions.mMethod) +
         "&path=" + PercentEncoded(aOptions.mPath);
}

void PrintAnswer(const http::FetchResult& aAnswer, std::ostream& aOut)
{
  const nlohmann::json json =
    nlohmann::json::parse(aAnswer.mBody, nullptr, false);
  if (json.is_discarded()) {
    aOut << aAnswer.mBody << '\n';
  } else {
    PrintJson(json, aOut);
  }
}

} // namespace

ExitCode RunExplain(const Options& aOptions, Session& aSession,
                    const Output& aOutput)
{
  constexpr std::size_t kMaxAsked = 3;
  objects::HostsResult result = aSession.Hosts();
  auto* hosts = std::get_if<std::vector<objects::ListedHost>>(&result);
  if (hosts == nullptr) {
    aOutput.mError << "explain: the platform's list of hosts can't be read\n";
    return ExitCode::Failed;
  }
  SortByNearness(*hosts, aOptions.mFrom);
  for (std::size_t it = 0; it < std::min(hosts->size(), kMaxAsked); ++it) {
    const objects::ListedHost& host = (*hosts)[it];
    const http::FetchResult answer =
      aSession.AskHosts({ host }, TargetOf(aOptions)).front();
    if (answer.IsOk()) {
      aOutput.mError << "asked " << host.mId << '\n';
      PrintAnswer(answer, aOutput.mOut);
      return ExitCode::Done;
    }
    if (!answer.mFailure) {
      aOutput.mError << "explain: " << host.mId << " answers "
                     << answer.mHead.mStatus << ": " << Printable(answer.mBody)
                     << '\n';
      return answer.mHead.mStatus / 100 == 4 ? ExitCode::BadInput
                                             : ExitCode::Failed;
    }
  }
  aOutput.mError << "explain: no host answers\n";
  return ExitCode::Failed;
}

} // namespace auburnmux::tool
