#pragma once

#include "auburnmux/src/FileCollector.h"
#include "auburnmux/src/Output.h"

#include <nlohmann/json.hpp>

namespace auburnmux::tool {

/** \returns the findings as a list of objects. */
nlohmann::json FindingsJson(const base::Findings& aFindings);

/** Prints all findings, one a line, and how many there are. */
void PrintFindings(const config::ParseReport& aReport, const Output& aOutput);

} // namespace auburnmux::tool
