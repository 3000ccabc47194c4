#include "auburnmux/src/FileCollector.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <optional>
#include <set>

namespace auburnmux::tool {

namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMaxFiles = 4'096;
constexpr std::size_t kMaxFileBytes = 1'000'000;
constexpr const char* kServiceName = "service.json";
constexpr const char* kTopologyName = "topology.json";

/** Adds the paths of the operators' files below a directory. */
void FindFiles(const std::string& aDirectory, std::set<std::string>& aPaths,
               base::Findings& aFindings)
{
  std::error_code ec;
  fs::recursive_directory_iterator it(aDirectory, ec);
  if (ec) {
    aFindings.Add({ aDirectory }, "can't be read: " + ec.message());
    return;
  }
  for (; it != fs::recursive_directory_iterator(); it.increment(ec)) {
    const std::string name = it->path().filename().string();
    std::error_code ignored;
    if ((name == kServiceName || name == kTopologyName) &&
        it->is_regular_file(ignored)) {
      aPaths.insert(it->path().lexically_normal().string());
    }
    if (aPaths.size() > kMaxFiles) {
      aFindings.Add({ aDirectory },
                    "has more than " + std::to_string(kMaxFiles) + " files");
      return;
    }
  }
  if (ec) {
    aFindings.Add({ aDirectory }, "can't be read: " + ec.message());
  }
}

/** \returns the file's text, at most one byte over the allowed size. */
std::optional<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (in.bad() || (!in.eof() && in.fail())) {
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(in.gcount()));
  return text;
}

void ParseFile(const std::string& aPath, CollectedFiles& aFiles,
               bool& aHasTopology)
{
  config::ParseReport& report = aFiles.mReport;
  const std::optional<std::string> text = ReadFile(aPath);
  if (!text) {
    report.mErrors.Add({ aPath }, "can't be read");
    return;
  }
  if (fs::path(aPath).filename() == kServiceName) {
    aFiles.mSnapshot.mServices.push_back(
      config::ParseServiceFile(*text, aPath, report));
  } else if (aHasTopology) {
    report.mErrors.Add({ aPath }, "is a second topology.json; the first is " +
                                    aFiles.mSnapshot.mTopology.mPlace.mFile);
  } else {
    aHasTopology = true;
    aFiles.mSnapshot.mTopology =
      config::ParseTopologyFile(*text, aPath, report);
    aFiles.mSnapshot.mTopology.mPlace.mFile = aPath;
  }
}

} // namespace

CollectedFiles CollectFiles(const std::vector<std::string>& aDirectories)
{
  CollectedFiles files;
  std::set<std::string> paths;
  for (const std::string& it : aDirectories) {
    FindFiles(it, paths, files.mReport.mErrors);
  }
  bool hasTopology = false;
  for (const std::string& it : paths) {
    ParseFile(it, files, hasTopology);
    files.mFiles.push_back(it);
  }
  if (!hasTopology) {
    files.mReport.mErrors.Add({ aDirectories.front() }, "has no topology.json");
  }
  if (files.mSnapshot.mServices.empty()) {
    files.mReport.mErrors.Add({ aDirectories.front() }, "has no service.json");
  }
  if (hasTopology) {
    config::CheckTogether(files.mSnapshot, files.mReport);
  }
  return files;
}

} // namespace auburnmux::tool
