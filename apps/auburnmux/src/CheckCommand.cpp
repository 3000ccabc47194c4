#include "auburnmux/src/Commands.h"

#include "auburnmux/src/FindingsOutput.h"
#include "auburnmux/src/Text.h"

namespace auburnmux::tool {

nlohmann::json FindingsJson(const base::Findings& aFindings)
{
  nlohmann::json list = nlohmann::json::array();
  for (const base::Finding& it : aFindings.Items()) {
    list.push_back({ { "file", it.mPlace.mFile },
                     { "line", it.mPlace.mLine },
                     { "column", it.mPlace.mColumn },
                     { "message", it.mMessage } });
  }
  return list;
}

void PrintFindings(const config::ParseReport& aReport, const Output& aOutput)
{
  aOutput.mError << aReport.mErrors.Report();
  const std::size_t n = aReport.mErrors.Items().size();
  if (n > 0) {
    aOutput.mError << n << (n == 1 ? " finding\n" : " findings\n");
  }
}

ExitCode RunCheck(const Options& aOptions, const Output& aOutput)
{
  const CollectedFiles files = CollectFiles(aOptions.mDirectories);
  const bool isGood = files.mReport.IsGood();
  std::size_t upstreams = 0;
  for (const config::ServiceFile& it : files.mSnapshot.mServices) {
    upstreams += it.mUpstreams.size();
  }
  const std::size_t services = files.mSnapshot.mServices.size();
  if (aOptions.mIsJson) {
    PrintJson({ { "ok", isGood },
                { "files", files.mFiles },
                { "services", services },
                { "upstreams", upstreams },
                { "findings", FindingsJson(files.mReport.mErrors) } },
              aOutput.mOut);
  } else {
    PrintFindings(files.mReport, aOutput);
    if (isGood) {
      aOutput.mOut << files.mFiles.size() << " files, " << services
                   << " services, " << upstreams << " upstreams: no findings\n";
    }
  }
  return isGood ? ExitCode::Done : ExitCode::BadInput;
}

} // namespace auburnmux::tool
