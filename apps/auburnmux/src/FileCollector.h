#pragma once

#include "config/Config.h"

#include <string>
#include <vector>

namespace auburnmux::tool {

/** The operators' files below some directories. */
struct CollectedFiles
{
  config::Snapshot mSnapshot;
  config::ParseReport mReport;
  /** All files read, sorted. */
  std::vector<std::string> mFiles;
};

/**
 * Finds every service.json and the one topology.json below the directories,
 * parses them and checks them together. All problems, unreadable files too,
 * are findings.
 */
CollectedFiles CollectFiles(const std::vector<std::string>& aDirectories);

} // namespace auburnmux::tool
