#include "config/src/internal/TreeReaders.h"

#include <algorithm>

namespace auburnmux::config::internal {

namespace {

constexpr std::size_t kMaxUpstreams = 4'096;
constexpr std::size_t kMaxRoutes = 64;
constexpr std::size_t kMaxPathLength = 256;
constexpr HttpMethod kMethods[] = { HttpMethod::Get,   HttpMethod::Head,
                                    HttpMethod::Post,  HttpMethod::Put,
                                    HttpMethod::Patch, HttpMethod::Delete };

Upstream ReadUpstream(const JsonValue& aValue, const JsonSource& aSource)
{
  ObjectReader reader(aValue, aSource, "upstream");
  Upstream upstream;
  upstream.mPlace = reader.At();
  upstream.mId = base::UpstreamId(reader.Name("id"));
  upstream.mDataCentre = base::DataCentreId(reader.Name("data_centre"));
  upstream.mEndpoint = reader.AddressAndPort();
  upstream.mSlots =
    reader.Quantity<base::SlotCount>("slots", { 1, 4'096, "slots" });
  upstream.mConnections = reader.Quantity<base::ConnectionCount>(
    "connections", { 1, 65'536, "connections" });
  reader.Finish();
  return upstream;
}

std::vector<HttpMethod> ReadMethods(ObjectReader& aReader,
                                    const JsonSource& aSource)
{
  std::vector<HttpMethod> methods;
  for (const JsonValue& it : aReader.List("methods", { 1, 6 })) {
    const auto* text = std::get_if<std::string>(&it.mData);
    const auto* known = std::find_if(
      std::begin(kMethods), std::end(kMethods), [text](HttpMethod aMethod) {
        return text != nullptr && *text == MethodName(aMethod);
      });
    if (known == std::end(kMethods)) {
      aSource.Add(it.mPosition, "methods must hold GET, HEAD, POST, PUT, "
                                "PATCH or DELETE");
    } else if (std::find(methods.begin(), methods.end(), *known) !=
               methods.end()) {
      aSource.Add(it.mPosition,
                  std::string("method ") + *text + " is listed twice");
    } else {
      methods.push_back(*known);
    }
  }
  std::sort(methods.begin(), methods.end());
  return methods;
}

/** \returns whether the path has only printable characters of a URL path. */
bool IsRoutePath(const std::string& aPath)
{
  const auto isAllowed = [](char aCharacter) {
    return aCharacter > 0x20 && aCharacter < 0x7f && aCharacter != '?' &&
           aCharacter != '#' && aCharacter != '"' && aCharacter != '\\';
  };
  return !aPath.empty() && aPath.front() == '/' &&
         std::all_of(aPath.begin(), aPath.end(), isAllowed) &&
         aPath.find("//") == std::string::npos &&
         aPath.find("/.") == std::string::npos;
}

Route ReadRoute(const JsonValue& aValue, const JsonSource& aSource)
{
  ObjectReader reader(aValue, aSource, "route");
  Route route;
  route.mPlace = reader.At();
  route.mPath = reader.Text("path", kMaxPathLength);
  if (!route.mPath.empty() && !IsRoutePath(route.mPath)) {
    aSource.mFindings.Add(reader.At("path"),
                          "path must start with '/' and hold no '?', '#', "
                          "'//' or '/.'");
  }
  route.mMethods = ReadMethods(reader, aSource);
  route.mWork =
    static_cast<WorkKind>(reader.Choice("work", { "idempotent", "once" }));
  route.mClass =
    static_cast<WorkClass>(reader.Choice("class", { "short", "long" }));
  route.mDeadline = reader.Time<std::chrono::milliseconds>(
    "deadline_ms", { 10, 3'600'000, "ms" });
  route.mMaxBody = reader.Quantity<base::ByteCount>(
    "max_body_bytes", { 0, 1'073'741'824, "bytes", 65'536 });
  reader.Finish();
  return route;
}

SpillCap ReadSpill(ObjectReader& aParent, const JsonSource& aSource)
{
  SpillCap cap;
  const JsonValue* value = aParent.Child("spill", true);
  if (value == nullptr) {
    return cap;
  }
  ObjectReader reader(*value, aSource, "spill");
  cap.mMaxShare =
    Share(reader.Decimal("max_share", { 0.0, 1.0, "of the slots" }));
  cap.mRampPerSecond = reader.Quantity<base::SlotCount>(
    "ramp_per_s", { 1, 10'000, "concurrent requests per second" });
  cap.mLinkPerSlot = reader.Quantity<MegabitsPerSecond>(
    "mbit_per_slot", { 0, 10'000, "Mbit/s", cap.mLinkPerSlot.Count() });
  reader.Finish();
  return cap;
}

} // namespace

ServiceFile ReadService(const JsonValue& aRoot, const JsonSource& aSource)
{
  ObjectReader reader(aRoot, aSource, "service");
  ServiceFile service;
  service.mService = base::ServiceId(reader.Name("service"));
  service.mPlace = reader.At("service");
  service.mOwner = reader.Text("owner", 200);
  for (const JsonValue& it : reader.List("upstreams", { 0, kMaxUpstreams })) {
    service.mUpstreams.push_back(ReadUpstream(it, aSource));
  }
  for (const JsonValue& it : reader.List("routes", { 1, kMaxRoutes })) {
    service.mRoutes.push_back(ReadRoute(it, aSource));
  }
  service.mSpill = ReadSpill(reader, aSource);
  for (std::string& it : reader.NameList("leaving", { 0, kMaxUpstreams })) {
    service.mLeaving.emplace_back(std::move(it));
  }
  service.mLeavingPlace = reader.At("leaving");
  service.mSlowStart =
    reader.Time<std::chrono::seconds>("slow_start_s", { 0, 600, "s", 10 });
  service.mStall = reader.Time<std::chrono::milliseconds>(
    "stall_ms", { 100, 600'000, "ms", 2'000 });
  reader.Finish();
  return service;
}

} // namespace auburnmux::config::internal
