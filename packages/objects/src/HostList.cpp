#include "objects/src/HostList.h"

#include "config/src/JsonReader.h"
#include "config/src/ObjectReader.h"

#include <charconv>

namespace auburnmux::objects {

namespace {

using config::JsonValue;

/** Parses `ADDRESS` or `ADDRESS:PORT`. */
std::optional<http::Endpoint> ParseEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.find(':');
  http::Endpoint endpoint{ aText.substr(0, colon), {} };
  if (!config::IsAddress(endpoint.mAddress)) {
    return std::nullopt;
  }
  if (colon != std::string::npos) {
    std::uint16_t port = 0;
    const char* end = aText.data() + aText.size();
    const auto [at, ec] = std::from_chars(aText.data() + colon + 1, end, port);
    if (ec != std::errc() || at != end || port == 0) {
      return std::nullopt;
    }
    endpoint.mPort = base::PortNumber(port);
  }
  return endpoint;
}

std::optional<ListedHost> ParseEntry(const JsonValue& aValue)
{
  constexpr std::size_t kMaxAddressLength = 21;
  const std::string file = "hosts";
  base::Findings findings;
  const config::JsonSource source{ file, findings };
  config::ObjectReader reader(aValue, source, "host");
  ListedHost host;
  host.mId = base::HostId(reader.Name("id"));
  host.mDataCentre = base::DataCentreId(reader.Name("data_centre"));
  const auto endpoint =
    ParseEndpoint(reader.Text("address", kMaxAddressLength));
  const JsonValue* leaving = reader.Child("leaving", false);
  if (!findings.IsEmpty() || !endpoint) {
    return std::nullopt;
  }
  host.mEndpoint = *endpoint;
  const auto* isLeaving =
    leaving == nullptr ? nullptr : std::get_if<bool>(&leaving->mData);
  host.mIsLeaving = isLeaving != nullptr && *isLeaving;
  return host;
}

} // namespace

std::optional<std::vector<ListedHost>> ParseHostList(std::string_view aText)
{
  base::Findings findings;
  const auto root = config::ReadJson(aText, "hosts", findings);
  if (!root) {
    return std::nullopt;
  }
  const auto* list = std::get_if<JsonValue::Array>(&root->mData);
  if (list == nullptr) {
    return std::nullopt;
  }
  std::vector<ListedHost> hosts;
  for (const JsonValue& it : *list) {
    if (auto host = ParseEntry(it)) {
      hosts.push_back(std::move(*host));
    }
  }
  return hosts;
}

} // namespace auburnmux::objects
