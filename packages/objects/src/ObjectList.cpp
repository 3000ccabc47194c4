#include "objects/src/ObjectList.h"

#include "config/src/JsonReader.h"
#include "config/src/ObjectReader.h"

namespace auburnmux::objects {

std::optional<std::vector<ListedObject>> ParseObjectList(std::string_view aText)
{
  constexpr std::size_t kMaxObjects = 100'000;
  constexpr std::size_t kMaxNameLength = 512;
  constexpr std::uint64_t kMaxVersion = 1ULL << 53U;
  config::JsonBounds bounds;
  bounds.mText = base::ByteCount{ 4'000'000 };
  bounds.mElementsOfArray = kMaxObjects;
  bounds.mValues = 4 * kMaxObjects;
  const std::string file = "objects";
  base::Findings findings;
  const auto root = config::ReadJson(aText, file, findings, bounds);
  if (!root) {
    return std::nullopt;
  }
  const config::JsonSource source{ file, findings };
  config::ObjectReader reader(*root, source, "list");
  std::vector<ListedObject> objects;
  reader.Child("objects", true);
  for (const config::JsonValue& it :
       reader.List("objects", { 0, kMaxObjects })) {
    config::ObjectReader entry(it, source, "object");
    ListedObject object;
    object.mName = entry.Text("name", kMaxNameLength);
    object.mVersion = entry.Quantity<base::ObjectVersion>(
      "version", { 1, kMaxVersion, "(version)" });
    objects.push_back(std::move(object));
  }
  if (!findings.IsEmpty()) {
    return std::nullopt;
  }
  return objects;
}

} // namespace auburnmux::objects
