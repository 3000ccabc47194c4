#include "auburnmux/src/HostStatus.h"

#include "config/src/JsonReader.h"
#include "config/src/ObjectReader.h"

namespace auburnmux::tool {

namespace {

using config::JsonSource;
using config::JsonValue;
using config::ObjectReader;

constexpr std::size_t kMaxHosts = 4'096;
constexpr std::size_t kMaxUpstreams = 4'096;
constexpr std::size_t kMaxServices = 4'096;
constexpr std::size_t kMaxStateLength = 32;
constexpr config::NumberRule kRequests{ 0, 1'000'000'000, "requests" };

std::vector<std::string> ReadStates(ObjectReader& aParent, const char* aKey,
                                    std::size_t aMax, const JsonSource& aSource)
{
  std::vector<std::string> states;
  for (const JsonValue& it : aParent.List(aKey, { 0, aMax })) {
    ObjectReader reader(it, aSource, aKey);
    states.push_back(reader.Text("state", kMaxStateLength));
  }
  return states;
}

std::vector<std::string> ReadAddresses(ObjectReader& aParent,
                                       const JsonSource& aSource)
{
  std::vector<std::string> addresses;
  for (const JsonValue& it : aParent.List("peers", { 0, kMaxHosts })) {
    ObjectReader reader(it, aSource, "peers");
    const JsonValue* value = reader.Child("address", false);
    const auto* text =
      value == nullptr ? nullptr : std::get_if<std::string>(&value->mData);
    if (text != nullptr && config::IsAddress(*text)) {
      addresses.push_back(*text);
    }
  }
  return addresses;
}

void ReadConfig(ObjectReader& aParent, const JsonSource& aSource,
                HostStatus& aStatus)
{
  constexpr std::uint64_t kMaxVersion = 1ULL << 53U;
  constexpr double kMaxAge = 1e12;
  const JsonValue* value = aParent.Child("config", true);
  if (value == nullptr) {
    return;
  }
  ObjectReader reader(*value, aSource, "config");
  aStatus.mConfig.mVersion = reader.Quantity<base::ConfigVersion>(
    "version", { 0, kMaxVersion, "(version)" });
  const JsonValue* digest = reader.Child("digest", false);
  const auto* text =
    digest == nullptr ? nullptr : std::get_if<std::string>(&digest->mData);
  aStatus.mConfig.mDigest = config::Digest(text == nullptr ? "" : *text);
  aStatus.mConfigAge = reader.Decimal("age_s", { 0, kMaxAge, "s", 0.0 });
  aStatus.mIsConfirmed = reader.Boolean("confirmed");
}

HostStatus ReadStatus(const JsonValue& aRoot, const JsonSource& aSource)
{
  ObjectReader reader(aRoot, aSource, "status");
  HostStatus status;
  status.mHost = base::HostId(reader.Name("host"));
  status.mDataCentre = base::DataCentreId(reader.Name("data_centre"));
  status.mIsReady = reader.Boolean("ready");
  status.mIsLeaving = reader.Boolean("leaving");
  ReadConfig(reader, aSource, status);
  status.mPeerStates = ReadStates(reader, "peers", kMaxHosts, aSource);
  status.mPeerAddresses = ReadAddresses(reader, aSource);
  for (const JsonValue& it : reader.List("services", { 0, kMaxServices })) {
    ObjectReader child(it, aSource, "service");
    ServiceStatus service;
    service.mService = base::ServiceId(child.Name("service"));
    service.mInFlight = child.Quantity<RequestCount>("in_flight", kRequests);
    service.mQueued = child.Quantity<RequestCount>("queued", kRequests);
    service.mUpstreamStates =
      ReadStates(child, "upstreams", kMaxUpstreams, aSource);
    status.mServices.push_back(std::move(service));
  }
  return status;
}

} // namespace

std::optional<HostStatus> ParseHostStatus(std::string_view aText)
{
  const std::string file = "status";
  base::Findings findings;
  const auto root = config::ReadJson(aText, file, findings);
  if (!root) {
    return std::nullopt;
  }
  HostStatus status = ReadStatus(*root, { file, findings });
  if (!findings.IsEmpty()) {
    return std::nullopt;
  }
  return status;
}

} // namespace auburnmux::tool
