#include "standins/src/UpstreamSettings.h"

#include <arpa/inet.h>
#include <array>

namespace auburnmux::standins {

std::vector<UpstreamSettings> ReadServiceFile(const Json& aFile,
                                              const UpstreamSettings& aDefaults)
{
  std::vector<UpstreamSettings> all;
  for (const Json& it : aFile.at("upstreams")) {
    UpstreamSettings one = aDefaults;
    one.mService = base::ServiceId(aFile.at("service").get<std::string>());
    one.mId = base::UpstreamId(it.at("id").get<std::string>());
    one.mListen = { it.at("address").get<std::string>(),
                    base::PortNumber(it.at("port").get<std::uint16_t>()) };
    one.mSlots = base::SlotCount(it.value("slots", one.mSlots.Count()));
    one.mConnections =
      base::ConnectionCount(it.value("connections", one.mConnections.Count()));
    one.mSeed = base::Hash64(one.mId.Text(), aDefaults.mSeed);
    all.push_back(std::move(one));
  }
  return all;
}

std::vector<UpstreamSettings> OnConsecutiveAddresses(
  const UpstreamSettings& aFirst, std::uint32_t aCount)
{
  in_addr first{};
  inet_pton(AF_INET, aFirst.mListen.mAddress.c_str(), &first);
  std::vector<UpstreamSettings> all(aCount, aFirst);
  for (std::uint32_t i = 0; i < aCount; ++i) {
    const in_addr address{ htonl(ntohl(first.s_addr) + i) };
    std::array<char, INET_ADDRSTRLEN> buf{};
    inet_ntop(AF_INET, &address, buf.data(), buf.size());
    all[i].mListen.mAddress = buf.data();
    all[i].mId = base::UpstreamId(aFirst.mId.Text() + std::to_string(i + 1));
    all[i].mSeed = aFirst.mSeed + i;
  }
  return all;
}

} // namespace auburnmux::standins
