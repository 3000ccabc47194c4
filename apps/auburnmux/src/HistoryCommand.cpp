#include "auburnmux/src/Commands.h"

#include "auburnmux/src/SnapshotStore.h"
#include "auburnmux/src/Text.h"

namespace auburnmux::tool {

namespace {

std::vector<config::PublishedVersion> VersionsOf(
  const config::CurrentPointer& aPointer)
{
  std::vector<config::PublishedVersion> versions{ aPointer.mCurrent };
  versions.insert(versions.end(), aPointer.mPrevious.begin(),
                  aPointer.mPrevious.end());
  return versions;
}

nlohmann::json VersionJson(const config::PublishedVersion& aVersion)
{
  return { { "version", aVersion.mTag.mVersion.Count() },
           { "digest", aVersion.mTag.mDigest.Text() },
           { "published_at", TimeText(aVersion.mPublishedAt) },
           { "published_by", aVersion.mPublishedBy },
           { "publication", aVersion.mPublication.Text() } };
}

void PrintVersions(const std::vector<config::PublishedVersion>& aVersions,
                   const Options& aOptions, std::ostream& aOut)
{
  if (aOptions.mIsJson) {
    nlohmann::json list = nlohmann::json::array();
    for (const config::PublishedVersion& it : aVersions) {
      list.push_back(VersionJson(it));
    }
    PrintJson(list, aOut);
    return;
  }
  TableRows rows{ { "VERSION", "TIME", "BY", "DIGEST" } };
  for (const config::PublishedVersion& it : aVersions) {
    rows.push_back({ std::to_string(it.mTag.mVersion.Count()),
                     TimeText(it.mPublishedAt), Printable(it.mPublishedBy),
                     it.mTag.mDigest.Text() });
  }
  PrintTable(rows, aOut);
}

} // namespace

ExitCode RunHistory(const Options& aOptions, Session& aSession,
                    const Output& aOutput)
{
  const PointerRead read = ReadCurrent(aSession);
  if (const auto* error = std::get_if<ReadError>(&read)) {
    aOutput.mError << "history: " << error->mReason << '\n';
    return ExitCode::Failed;
  }
  const auto* pointer = std::get_if<config::CurrentPointer>(&read);
  PrintVersions(pointer == nullptr ? std::vector<config::PublishedVersion>()
                                   : VersionsOf(*pointer),
                aOptions, aOutput.mOut);
  return ExitCode::Done;
}

} // namespace auburnmux::tool
