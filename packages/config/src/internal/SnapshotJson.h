#pragma once

#include "config/src/ServiceFile.h"
#include "config/src/TopologyFile.h"

#include <nlohmann/json.hpp>

#include <string>

namespace auburnmux::config::internal {

nlohmann::json ToJson(const base::UpstreamId& aUpstream);
nlohmann::json ToJson(const Upstream& aUpstream);
nlohmann::json ToJson(const Route& aRoute);
nlohmann::json ToJson(const SpillCap& aCap);
nlohmann::json ToJson(const ServiceFile& aService);
nlohmann::json ToJson(const DataCentre& aDataCentre);
nlohmann::json ToJson(const Region& aRegion);
nlohmann::json ToJson(const DelayOverride& aDelay);
nlohmann::json ToJson(const Delays& aDelays);
nlohmann::json ToJson(const Link& aLink);
nlohmann::json ToJson(const AddressPrefix& aPrefix);
nlohmann::json ToJson(const Site& aSite);
nlohmann::json ToJson(const TopologyFile& aTopology);

/** \returns the text on one line; bytes that aren't UTF-8 are replaced. */
std::string Dump(const nlohmann::json& aJson);

} // namespace auburnmux::config::internal
