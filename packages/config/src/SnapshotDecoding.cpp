#include "config/src/Snapshot.h"

#include "config/src/CrossChecks.h"
#include "config/src/JsonReader.h"
#include "config/src/internal/TreeReaders.h"

#include <algorithm>

namespace auburnmux::config {

namespace {

constexpr std::size_t kMaxServices = 4'096;
constexpr std::size_t kMaxDetailFindings = 3;

SnapshotError ErrorOf(SnapshotError::Kind aKind,
                      const base::Findings& aFindings)
{
  SnapshotError error{ aKind, {} };
  const std::size_t n = std::min(aFindings.Items().size(), kMaxDetailFindings);
  for (std::size_t it = 0; it < n; ++it) {
    const base::Finding& finding = aFindings.Items()[it];
    error.mDetail += (it == 0 ? "" : "; ") +
                     std::to_string(finding.mPlace.mColumn) + ": " +
                     finding.mMessage;
  }
  return error;
}

/** \returns the format number of a snapshot; 0 when it states none. */
std::uint64_t FormatOf(const JsonValue& aRoot)
{
  const auto* members = std::get_if<JsonValue::Object>(&aRoot.mData);
  if (members == nullptr) {
    return 0;
  }
  for (const JsonMember& it : *members) {
    const auto* number = std::get_if<std::uint64_t>(&it.mValue.mData);
    if (it.mKey == "format" && number != nullptr) {
      return *number;
    }
  }
  return 0;
}

Snapshot ReadSnapshot(const JsonValue& aRoot, const JsonSource& aSource)
{
  ObjectReader reader(aRoot, aSource, "snapshot");
  Snapshot snapshot;
  reader.Number("format", { kSnapshotFormat, kSnapshotFormat, "" });
  const JsonValue* topology = reader.Child("topology", true);
  if (topology != nullptr) {
    snapshot.mTopology = internal::ReadTopology(*topology, aSource);
  }
  for (const JsonValue& it : reader.List("services", { 0, kMaxServices })) {
    snapshot.mServices.push_back(internal::ReadService(it, aSource));
  }
  reader.Finish();
  return snapshot;
}

} // namespace

const ServiceFile* Snapshot::FindService(const base::ServiceId& aService) const
{
  const auto it = std::find_if(
    mServices.begin(), mServices.end(),
    [&](const ServiceFile& aOther) { return aOther.mService == aService; });
  return it == mServices.end() ? nullptr : &*it;
}

std::variant<Snapshot, SnapshotError> DecodeSnapshot(std::string_view aBytes)
{
  if (aBytes.size() > kMaxSnapshotBytes.Count()) {
    return SnapshotError{ SnapshotError::Kind::TooLarge,
                          std::to_string(aBytes.size()) + " bytes" };
  }
  JsonBounds bounds;
  bounds.mText = kMaxSnapshotBytes;
  bounds.mValues = 2'000'000;
  const std::string file = "snapshot";
  ParseReport report;
  const auto root = ReadJson(aBytes, file, report.mErrors, bounds);
  if (!root) {
    return ErrorOf(SnapshotError::Kind::NotJson, report.mErrors);
  }
  const std::uint64_t format = FormatOf(*root);
  if (format != kSnapshotFormat) {
    return SnapshotError{ SnapshotError::Kind::UnknownFormat,
                          "format " + std::to_string(format) +
                            "; this version reads " +
                            std::to_string(kSnapshotFormat) };
  }
  Snapshot snapshot = ReadSnapshot(*root, { file, report.mErrors });
  if (report.IsGood()) {
    CheckTogether(snapshot, report);
  }
  if (!report.IsGood()) {
    return ErrorOf(SnapshotError::Kind::Invalid, report.mErrors);
  }
  return snapshot;
}

} // namespace auburnmux::config
