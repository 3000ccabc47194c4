#pragma once

#include "base/Base.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace auburnmux::tool {

/** Rows of texts; the first one holds the titles. */
using TableRows = std::vector<std::vector<std::string>>;

/** Prints the rows in columns that are as wide as their longest text. */
void PrintTable(const TableRows& aRows, std::ostream& aOut);

/** \returns the time as `2026-12-04T06:40:00Z`. */
std::string TimeText(base::WallTime aTime);

/** \returns the text with all but unreserved characters percent-encoded. */
std::string PercentEncoded(const std::string& aText);

/** \returns the text with control characters replaced by '?'. */
std::string Printable(std::string aText);

/** Prints the JSON over several lines; bytes not UTF-8 are replaced. */
void PrintJson(const nlohmann::json& aJson, std::ostream& aOut);

} // namespace auburnmux::tool
