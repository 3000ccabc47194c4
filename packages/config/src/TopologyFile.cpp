#include "config/src/TopologyFile.h"

#include "config/src/JsonReader.h"
#include "config/src/internal/TreeReaders.h"

#include <arpa/inet.h>

#include <algorithm>

namespace auburnmux::config {

namespace {

/** \returns whether the two pairs are equal in either order. */
template<typename Id>
bool IsSamePair(const Id& aLeft, const Id& aRight, const Id& aOtherLeft,
                const Id& aOtherRight)
{
  return (aLeft == aOtherLeft && aRight == aOtherRight) ||
         (aLeft == aOtherRight && aRight == aOtherLeft);
}

} // namespace

std::string AddressPrefix::Text() const
{
  in_addr address{};
  address.s_addr = htonl(mAddress);
  char buf[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &address, buf, sizeof buf);
  return std::string(buf) + '/' + std::to_string(mLength);
}

std::optional<AddressPrefix> ParseAddressPrefix(const std::string& aText)
{
  constexpr unsigned kMaxLength = 32;
  const std::size_t slash = aText.find('/');
  if (slash == std::string::npos || aText.size() - slash > 3 ||
      aText.size() - slash < 2) {
    return std::nullopt;
  }
  unsigned length = 0;
  for (std::size_t it = slash + 1; it < aText.size(); ++it) {
    if (aText[it] < '0' || aText[it] > '9') {
      return std::nullopt;
    }
    length = length * 10 + static_cast<unsigned>(aText[it] - '0');
  }
  in_addr address{};
  if (length > kMaxLength ||
      inet_pton(AF_INET, aText.substr(0, slash).c_str(), &address) != 1) {
    return std::nullopt;
  }
  const AddressPrefix prefix{ ntohl(address.s_addr),
                              static_cast<std::uint8_t>(length) };
  const std::uint64_t rest = (1ULL << (kMaxLength - length)) - 1;
  // The comparison refuses spellings such as "010.0.0.0/08", so that one
  // prefix has one text.
  if ((prefix.mAddress & rest) != 0 || prefix.Text() != aText) {
    return std::nullopt;
  }
  return prefix;
}

const DataCentre* TopologyFile::FindDataCentre(
  const base::DataCentreId& aName) const
{
  for (const Region& region : mRegions) {
    for (const DataCentre& it : region.mDataCentres) {
      if (it.mName == aName) {
        return &it;
      }
    }
  }
  return nullptr;
}

const Region* TopologyFile::RegionOf(const base::DataCentreId& aName) const
{
  for (const Region& region : mRegions) {
    for (const DataCentre& it : region.mDataCentres) {
      if (it.mName == aName) {
        return &region;
      }
    }
  }
  return nullptr;
}

const Region* TopologyFile::FindRegion(const base::RegionId& aName) const
{
  const auto it =
    std::find_if(mRegions.begin(), mRegions.end(),
                 [&](const Region& aRegion) { return aRegion.mName == aName; });
  return it == mRegions.end() ? nullptr : &*it;
}

HostSlotCount TopologyFile::HostSlotsOfRegion(const base::RegionId& aName) const
{
  HostSlotCount slots;
  const Region* region = FindRegion(aName);
  if (region != nullptr) {
    for (const DataCentre& it : region->mDataCentres) {
      slots += it.mHostSlots;
    }
  }
  return slots;
}

std::chrono::microseconds TopologyFile::OneWayDelay(
  const base::DataCentreId& aLeft, const base::DataCentreId& aRight) const
{
  if (aLeft == aRight) {
    return std::chrono::microseconds{ 0 };
  }
  for (const DelayOverride& it : mDelays.mOverrides) {
    if (IsSamePair(it.mLeft, it.mRight, aLeft, aRight)) {
      return it.mOneWay;
    }
  }
  return RegionOf(aLeft) == RegionOf(aRight) ? mDelays.mInRegion
                                             : mDelays.mBetweenRegions;
}

std::optional<MegabitsPerSecond> TopologyFile::LinkLimit(
  const base::RegionId& aLeft, const base::RegionId& aRight) const
{
  for (const Link& it : mLinks) {
    if (IsSamePair(it.mLeft, it.mRight, aLeft, aRight)) {
      return it.mLimit;
    }
  }
  return std::nullopt;
}

TopologyFile ParseTopologyFile(std::string_view aText, const std::string& aFile,
                               ParseReport& aReport)
{
  const std::optional<JsonValue> root = ReadJson(aText, aFile, aReport.mErrors);
  if (!root) {
    return {};
  }
  return internal::ReadTopology(*root, { aFile, aReport.mErrors });
}

} // namespace auburnmux::config
