#include "config/src/CurrentPointer.h"

#include "config/src/JsonReader.h"
#include "config/src/ObjectReader.h"
#include "config/src/internal/SnapshotJson.h"

#include <algorithm>

namespace auburnmux::config {

namespace {

constexpr std::uint64_t kPointerFormat = 1;
constexpr std::uint64_t kMaxVersion = 1ULL << 53U;
constexpr std::uint64_t kMaxWallMs = 1ULL << 53U;
constexpr std::size_t kDigestLength = 32;
constexpr std::size_t kMaxPublisherLength = 200;
constexpr std::size_t kMaxIdLength = 64;
constexpr std::uint64_t kMaxParts =
  (kMaxSnapshotBytes.Count() + kMaxPartBytes.Count() - 1) /
  kMaxPartBytes.Count();

nlohmann::json EntryJson(const PublishedVersion& aEntry)
{
  return { { "version", aEntry.mTag.mVersion.Count() },
           { "digest", aEntry.mTag.mDigest.Text() },
           { "publication", aEntry.mPublication.Text() },
           { "published_ms", aEntry.mPublishedAt.time_since_epoch().count() },
           { "published_by", aEntry.mPublishedBy } };
}

bool IsDigest(const std::string& aText)
{
  return aText.size() == kDigestLength &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

PublishedVersion ReadEntry(ObjectReader& aReader, const JsonSource& aSource)
{
  PublishedVersion entry;
  entry.mTag.mVersion = aReader.Quantity<base::ConfigVersion>(
    "version", { 1, kMaxVersion, "(version)" });
  entry.mTag.mDigest = Digest(aReader.Text("digest", kDigestLength));
  if (!IsDigest(entry.mTag.mDigest.Text())) {
    aSource.mFindings.Add(aReader.At("digest"),
                          "digest must be 32 hexadecimal digits");
  }
  entry.mPublication = PublicationId(aReader.Text("publication", kMaxIdLength));
  entry.mPublishedAt = base::WallTime(aReader.Time<std::chrono::milliseconds>(
    "published_ms", { 0, kMaxWallMs, "ms since the Unix epoch" }));
  entry.mPublishedBy = aReader.Text("published_by", kMaxPublisherLength);
  return entry;
}

CurrentPointer ReadPointer(ObjectReader& aReader, const JsonSource& aSource)
{
  CurrentPointer pointer;
  pointer.mCurrent = ReadEntry(aReader, aSource);
  pointer.mParts =
    aReader.Quantity<PartCount>("parts", { 1, kMaxParts, "parts" });
  pointer.mBytes = aReader.Quantity<base::ByteCount>(
    "bytes", { 1, kMaxSnapshotBytes.Count(), "bytes" });
  base::ConfigVersion above = pointer.mCurrent.mTag.mVersion;
  for (const JsonValue& it : aReader.List("previous", { 0, kMaxPrevious })) {
    ObjectReader child(it, aSource, "previous version");
    pointer.mPrevious.push_back(ReadEntry(child, aSource));
    child.Finish();
    const base::ConfigVersion version = pointer.mPrevious.back().mTag.mVersion;
    if (version >= above) {
      aSource.Add(it.mPosition, "previous versions must decrease");
    }
    above = version;
  }
  return pointer;
}

SnapshotError ErrorOf(SnapshotError::Kind aKind,
                      const base::Findings& aFindings)
{
  return { aKind, aFindings.IsEmpty() ? std::string()
                                      : aFindings.Items()[0].mMessage };
}

} // namespace

const PublishedVersion* CurrentPointer::Find(base::ConfigVersion aVersion) const
{
  if (mCurrent.mTag.mVersion == aVersion) {
    return &mCurrent;
  }
  const auto it = std::find_if(mPrevious.begin(), mPrevious.end(),
                               [aVersion](const PublishedVersion& aEntry) {
                                 return aEntry.mTag.mVersion == aVersion;
                               });
  return it == mPrevious.end() ? nullptr : &*it;
}

std::string EncodePointer(const CurrentPointer& aPointer)
{
  nlohmann::json json = EntryJson(aPointer.mCurrent);
  json["format"] = kPointerFormat;
  json["parts"] = aPointer.mParts.Count();
  json["bytes"] = aPointer.mBytes.Count();
  json["previous"] = nlohmann::json::array();
  for (const PublishedVersion& it : aPointer.mPrevious) {
    json["previous"].push_back(EntryJson(it));
  }
  return internal::Dump(json);
}

std::variant<CurrentPointer, SnapshotError> DecodePointer(
  std::string_view aBytes)
{
  const std::string file = "pointer";
  base::Findings findings;
  const auto root = ReadJson(aBytes, file, findings);
  if (!root) {
    return ErrorOf(SnapshotError::Kind::NotJson, findings);
  }
  const JsonSource source{ file, findings };
  ObjectReader reader(*root, source, "pointer");
  reader.Number("format", { kPointerFormat, kPointerFormat, "(format)" });
  if (!findings.IsEmpty()) {
    return ErrorOf(SnapshotError::Kind::UnknownFormat, findings);
  }
  CurrentPointer pointer = ReadPointer(reader, source);
  reader.Finish();
  if (!findings.IsEmpty()) {
    return ErrorOf(SnapshotError::Kind::Invalid, findings);
  }
  return pointer;
}

PartCount PartsFor(base::ByteCount aBytes)
{
  const std::uint64_t parts =
    (aBytes.Count() + kMaxPartBytes.Count() - 1) / kMaxPartBytes.Count();
  return PartCount(
    static_cast<std::uint32_t>(std::max<std::uint64_t>(parts, 1)));
}

std::vector<std::string> PartNames(const Digest& aDigest, PartCount aParts)
{
  const std::string name = "config/snapshots/" + aDigest.Text();
  if (aParts.Count() <= 1) {
    return { name };
  }
  std::vector<std::string> names;
  for (std::uint32_t it = 0; it < aParts.Count(); ++it) {
    names.push_back(name + '/' + std::to_string(it));
  }
  return names;
}

} // namespace auburnmux::config
