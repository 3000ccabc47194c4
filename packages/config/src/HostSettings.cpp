#include "config/src/HostSettings.h"

#include "config/src/JsonReader.h"
#include "config/src/ObjectReader.h"

#include <algorithm>

namespace auburnmux::config {

namespace {

constexpr std::size_t kMaxSeeds = 64;
constexpr std::size_t kZ85KeyLength = 40;

bool IsZ85Key(const std::string& aText)
{
  constexpr std::string_view kAlphabet =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
    ".-:+=^!/*?&<>()[]{}@%$#";
  return aText.size() == kZ85KeyLength &&
         aText.find_first_not_of(kAlphabet) == std::string::npos;
}

Endpoint ReadEndpoint(ObjectReader& aParent, const char* aKey,
                      const JsonSource& aSource)
{
  const JsonValue* value = aParent.Child(aKey, true);
  if (value == nullptr) {
    return {};
  }
  ObjectReader reader(*value, aSource, aKey);
  Endpoint endpoint = reader.AddressAndPort();
  reader.Finish();
  return endpoint;
}

std::vector<Seed> ReadSeeds(ObjectReader& aParent, const JsonSource& aSource)
{
  std::vector<Seed> seeds;
  for (const JsonValue& it : aParent.List("seeds", { 0, kMaxSeeds })) {
    ObjectReader reader(it, aSource, "seed");
    Seed seed;
    seed.mHost = base::HostId(reader.Name("host"));
    seed.mPeer = reader.AddressAndPort();
    reader.Finish();
    const bool isDoubled =
      std::any_of(seeds.begin(), seeds.end(), [&seed](const Seed& aOther) {
        return aOther.mHost == seed.mHost;
      });
    if (isDoubled && !seed.mHost.IsEmpty()) {
      aSource.Add(it.mPosition,
                  "seed \"" + seed.mHost.Text() + "\" is listed twice");
    }
    seeds.push_back(std::move(seed));
  }
  return seeds;
}

std::optional<FleetKey> ReadFleetKey(ObjectReader& aParent,
                                     const JsonSource& aSource,
                                     base::Findings& aWarnings)
{
  const JsonValue* value = aParent.Child("fleet_key", false);
  if (value == nullptr) {
    aWarnings.Add(aParent.At(), "no fleet_key: connections between hosts are "
                                "plain and accept any sender");
    return std::nullopt;
  }
  ObjectReader reader(*value, aSource, "fleet_key");
  FleetKey key;
  key.mPublic = reader.Text("public", kZ85KeyLength);
  key.mSecret = reader.Text("secret", kZ85KeyLength);
  if (!key.mPublic.empty() && !IsZ85Key(key.mPublic)) {
    aSource.mFindings.Add(reader.At("public"),
                          "public must be a Z85 key of 40 characters");
  }
  // The message leaves the value out, because it goes to logs.
  if (!key.mSecret.empty() && !IsZ85Key(key.mSecret)) {
    aSource.mFindings.Add(reader.At("secret"),
                          "secret must be a Z85 key of 40 characters");
  }
  reader.Finish();
  return key;
}

HostLimits ReadLimits(ObjectReader& aParent, const JsonSource& aSource)
{
  HostLimits limits;
  const JsonValue* value = aParent.Child("limits", false);
  if (value == nullptr) {
    return limits;
  }
  ObjectReader reader(*value, aSource, "limits");
  limits.mHead = reader.Quantity<base::ByteCount>(
    "head_bytes", { 1'024, 65'536, "bytes", limits.mHead.Count() });
  limits.mBody = reader.Quantity<base::ByteCount>(
    "body_bytes", { 1'024, 1'073'741'824, "bytes", limits.mBody.Count() });
  limits.mQueue = reader.Quantity<base::ByteCount>(
    "queue_bytes", { 65'536, 1'073'741'824, "bytes", limits.mQueue.Count() });
  reader.Finish();
  return limits;
}

HostSettings ReadSettings(const JsonValue& aRoot, const JsonSource& aSource,
                          base::Findings& aWarnings)
{
  ObjectReader reader(aRoot, aSource, "host settings");
  HostSettings settings;
  settings.mHost = base::HostId(reader.Name("host"));
  settings.mRegion = base::RegionId(reader.Name("region"));
  settings.mDataCentre = base::DataCentreId(reader.Name("data_centre"));
  settings.mListen = ReadEndpoint(reader, "listen", aSource);
  settings.mPeer = ReadEndpoint(reader, "peer", aSource);
  settings.mPlatform = ReadEndpoint(reader, "platform", aSource);
  settings.mSeeds = ReadSeeds(reader, aSource);
  settings.mFleetKey = ReadFleetKey(reader, aSource, aWarnings);
  settings.mDrainLimit =
    reader.Time<std::chrono::seconds>("drain_limit_s", { 1, 3'600, "s", 30 });
  settings.mLogLevel = static_cast<LogLevel>(
    reader.Choice("log_level", { "debug", "info", "warning" }, 1));
  settings.mLimits = ReadLimits(reader, aSource);
  reader.Finish();
  return settings;
}

} // namespace

HostSettings ParseHostSettings(std::string_view aText, const std::string& aFile,
                               ParseReport& aReport)
{
  const std::optional<JsonValue> root = ReadJson(aText, aFile, aReport.mErrors);
  if (!root) {
    return {};
  }
  const JsonSource source{ aFile, aReport.mErrors };
  HostSettings settings = ReadSettings(*root, source, aReport.mWarnings);
  if (settings.mListen == settings.mPeer && !settings.mPeer.mAddress.empty()) {
    source.Add(root->mPosition,
               "listen and peer use the same port " + settings.mPeer.Text());
  }
  return settings;
}

} // namespace auburnmux::config
