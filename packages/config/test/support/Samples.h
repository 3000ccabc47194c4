#pragma once

#include "config/Config.h"

#include <string>

/** Texts of small valid files, which the tests change one place at a time. */
namespace auburnmux::config::test {

inline const std::string kTopology = R"({
  "regions": [
    { "name": "addis", "data_centres": [
      { "name": "addis-1", "host_slots": 2 },
      { "name": "addis-2", "host_slots": 1 } ] },
    { "name": "hawassa", "data_centres": [
      { "name": "hawassa-1", "host_slots": 1 } ] } ],
  "delays": { "in_region_ms": 0.5, "between_regions_ms": 20 },
  "links": [ { "between": ["hawassa", "addis"], "mbit_per_s": 4000 } ],
  "sites": [ { "name": "holeta", "data_centre": "addis-2",
               "blocks": ["10.2.0.0/16", "10.1.0.0/16"] } ]
})";

inline const std::string kService = R"({
  "service": "subsidy-core",
  "owner": "Payments",
  "upstreams": [
    { "id": "sc-2", "data_centre": "hawassa-1", "address": "127.0.0.3",
      "port": 9001, "slots": 9, "connections": 400 },
    { "id": "sc-1", "data_centre": "addis-1", "address": "127.0.0.2",
      "port": 9001, "slots": 9, "connections": 400 } ],
  "routes": [
    { "path": "/v1/checks", "methods": ["HEAD", "GET"],
      "work": "idempotent", "class": "short", "deadline_ms": 2000 },
    { "path": "/v1/vouchers", "methods": ["POST"],
      "work": "once", "class": "short", "deadline_ms": 5000 } ],
  "spill": { "max_share": 0.25, "ramp_per_s": 4 }
})";

inline const std::string kHost = R"({
  "host": "addis-1-a", "region": "addis", "data_centre": "addis-1",
  "listen": { "address": "127.0.0.1", "port": 8080 },
  "peer": { "address": "127.0.0.1", "port": 7000 },
  "platform": { "address": "127.0.0.9", "port": 8500 },
  "seeds": [ { "host": "addis-2-a", "address": "127.0.0.4", "port": 7000 } ]
})";

/** \returns \a aText with the first \a aFrom replaced by \a aTo. */
inline std::string Replaced(std::string aText, const std::string& aFrom,
                            const std::string& aTo)
{
  const std::size_t at = aText.find(aFrom);
  return at == std::string::npos ? "replacement not found: " + aFrom
                                 : aText.replace(at, aFrom.size(), aTo);
}

/** Parses and cross-checks the two files. */
inline Snapshot ReadBoth(const std::string& aTopology,
                         const std::string& aService, ParseReport& aReport)
{
  Snapshot snapshot;
  snapshot.mTopology = ParseTopologyFile(aTopology, "t.json", aReport);
  snapshot.mServices.push_back(ParseServiceFile(aService, "s.json", aReport));
  CheckTogether(snapshot, aReport);
  return snapshot;
}

/** \returns a valid snapshot that differs for each seed. */
inline std::string SampleBytes(unsigned aSeed)
{
  ParseReport report;
  return EncodeSnapshot(
    ReadBoth(kTopology,
             Replaced(kService, "\"Payments\"",
                      "\"Payments " + std::to_string(aSeed) + "\""),
             report));
}

} // namespace auburnmux::config::test
