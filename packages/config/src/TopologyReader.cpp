#include "config/src/internal/TreeReaders.h"

#include <cmath>

namespace auburnmux::config::internal {

namespace {

constexpr std::size_t kMaxRegions = 64;
constexpr std::size_t kMaxDataCentres = 64;
constexpr std::size_t kMaxPairs = 4'096;
constexpr std::size_t kMaxSites = 4'096;
constexpr std::size_t kMaxBlocks = 4'096;
constexpr double kMicrosecondsPerMillisecond = 1'000.0;

std::chrono::microseconds ReadDelay(ObjectReader& aReader, const char* aKey,
                                    std::optional<double> aDefault)
{
  const double delay = aReader.Decimal(aKey, { 0.0, 1'000.0, "ms", aDefault });
  return std::chrono::microseconds(
    std::llround(delay * kMicrosecondsPerMillisecond));
}

Region ReadRegion(const JsonValue& aValue, const JsonSource& aSource)
{
  ObjectReader reader(aValue, aSource, "region");
  Region region;
  region.mPlace = reader.At();
  region.mName = base::RegionId(reader.Name("name"));
  for (const JsonValue& it :
       reader.List("data_centres", { 1, kMaxDataCentres })) {
    ObjectReader child(it, aSource, "data centre");
    DataCentre dataCentre;
    dataCentre.mPlace = child.At();
    dataCentre.mName = base::DataCentreId(child.Name("name"));
    dataCentre.mHostSlots =
      child.Quantity<HostSlotCount>("host_slots", { 1, 1'024, "entry hosts" });
    child.Finish();
    region.mDataCentres.push_back(std::move(dataCentre));
  }
  reader.Finish();
  return region;
}

/** Reads the key "between", a list of two different names. */
std::pair<std::string, std::string> ReadPair(ObjectReader& aReader,
                                             const JsonSource& aSource)
{
  std::vector<std::string> names = aReader.NameList("between", { 2, 2 });
  if (names.size() != 2) {
    return {};
  }
  if (names[0] == names[1]) {
    aSource.mFindings.Add(aReader.At("between"),
                          "between must hold two different names");
  }
  return { std::move(names[0]), std::move(names[1]) };
}

Delays ReadDelays(ObjectReader& aParent, const JsonSource& aSource)
{
  Delays delays;
  const JsonValue* value = aParent.Child("delays", true);
  if (value == nullptr) {
    return delays;
  }
  ObjectReader reader(*value, aSource, "delays");
  delays.mInRegion = ReadDelay(reader, "in_region_ms", std::nullopt);
  delays.mBetweenRegions =
    ReadDelay(reader, "between_regions_ms", std::nullopt);
  for (const JsonValue& it : reader.List("measured", { 0, kMaxPairs })) {
    ObjectReader child(it, aSource, "measured delay");
    DelayOverride pair;
    pair.mPlace = child.At();
    auto [left, right] = ReadPair(child, aSource);
    pair.mLeft = base::DataCentreId(std::move(left));
    pair.mRight = base::DataCentreId(std::move(right));
    pair.mOneWay = ReadDelay(child, "one_way_ms", std::nullopt);
    child.Finish();
    delays.mOverrides.push_back(std::move(pair));
  }
  reader.Finish();
  return delays;
}

Link ReadLink(const JsonValue& aValue, const JsonSource& aSource)
{
  ObjectReader reader(aValue, aSource, "link");
  Link link;
  link.mPlace = reader.At();
  auto [left, right] = ReadPair(reader, aSource);
  link.mLeft = base::RegionId(std::move(left));
  link.mRight = base::RegionId(std::move(right));
  link.mLimit = reader.Quantity<MegabitsPerSecond>("mbit_per_s",
                                                   { 1, 10'000'000, "Mbit/s" });
  reader.Finish();
  return link;
}

Site ReadSite(const JsonValue& aValue, const JsonSource& aSource)
{
  ObjectReader reader(aValue, aSource, "site");
  Site site;
  site.mPlace = reader.At();
  site.mName = SiteId(reader.Name("name"));
  site.mDataCentre = base::DataCentreId(reader.Name("data_centre"));
  for (const JsonValue& it : reader.List("blocks", { 0, kMaxBlocks })) {
    const auto* text = std::get_if<std::string>(&it.mData);
    const auto prefix =
      text == nullptr ? std::nullopt : ParseAddressPrefix(*text);
    if (!prefix) {
      aSource.Add(it.mPosition, "blocks must hold IPv4 prefixes such as "
                                "\"10.1.0.0/16\" with zero host bits");
    } else {
      site.mBlocks.push_back(*prefix);
    }
  }
  reader.Finish();
  return site;
}

} // namespace

TopologyFile ReadTopology(const JsonValue& aRoot, const JsonSource& aSource)
{
  ObjectReader reader(aRoot, aSource, "topology");
  TopologyFile topology;
  topology.mPlace = reader.At();
  for (const JsonValue& it : reader.List("regions", { 1, kMaxRegions })) {
    topology.mRegions.push_back(ReadRegion(it, aSource));
  }
  topology.mDelays = ReadDelays(reader, aSource);
  for (const JsonValue& it : reader.List("links", { 0, kMaxPairs })) {
    topology.mLinks.push_back(ReadLink(it, aSource));
  }
  for (const JsonValue& it : reader.List("sites", { 0, kMaxSites })) {
    topology.mSites.push_back(ReadSite(it, aSource));
  }
  topology.mLookupLifetime = reader.Time<std::chrono::milliseconds>(
    "lookup_lifetime_ms", { 1'000, 600'000, "ms", 5'000 });
  reader.Finish();
  return topology;
}

} // namespace auburnmux::config::internal
