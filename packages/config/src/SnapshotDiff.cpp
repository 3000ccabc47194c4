#include "config/src/SnapshotDiff.h"

#include "config/src/internal/SnapshotJson.h"

#include <map>

namespace auburnmux::config {

namespace {

/** The parts of a snapshot by the words that name them. */
using Subjects = std::map<std::string, nlohmann::json>;

/** Moves the keys out of the object, because they are subjects themselves. */
nlohmann::json Without(nlohmann::json aObject,
                       std::initializer_list<const char*> aKeys)
{
  for (const char* it : aKeys) {
    aObject.erase(it);
  }
  return aObject;
}

void AddTopology(Subjects& aSubjects, const TopologyFile& aTopology)
{
  using internal::ToJson;
  nlohmann::json own =
    Without(ToJson(aTopology), { "regions", "delays", "links", "sites" });
  own.update(Without(ToJson(aTopology.mDelays), { "measured" }));
  aSubjects["topology"] = std::move(own);
  for (const Region& region : aTopology.mRegions) {
    aSubjects["region " + region.mName.Text()] = nlohmann::json::object();
    for (const DataCentre& it : region.mDataCentres) {
      aSubjects["data centre " + it.mName.Text()] = ToJson(it);
      aSubjects["data centre " + it.mName.Text()]["region"] =
        region.mName.Text();
    }
  }
  for (const DelayOverride& it : aTopology.mDelays.mOverrides) {
    aSubjects["delay " + it.mLeft.Text() + " - " + it.mRight.Text()] =
      ToJson(it);
  }
  for (const Link& it : aTopology.mLinks) {
    aSubjects["link " + it.mLeft.Text() + " - " + it.mRight.Text()] =
      ToJson(it);
  }
  for (const Site& it : aTopology.mSites) {
    aSubjects["site " + it.mName.Text()] = ToJson(it);
  }
}

std::string RouteText(const Route& aRoute)
{
  std::string methods;
  for (const HttpMethod it : aRoute.mMethods) {
    methods += (methods.empty() ? "" : ",") + std::string(MethodName(it));
  }
  return "route " + methods + ' ' + aRoute.mPath;
}

void AddService(Subjects& aSubjects, const ServiceFile& aService)
{
  using internal::ToJson;
  const std::string of = " of " + aService.mService.Text();
  aSubjects["service " + aService.mService.Text()] =
    Without(ToJson(aService), { "upstreams", "routes", "spill", "leaving" });
  aSubjects["cap" + of] = ToJson(aService.mSpill);
  for (const Upstream& it : aService.mUpstreams) {
    aSubjects["upstream " + it.mId.Text() + of] = ToJson(it);
  }
  for (const Route& it : aService.mRoutes) {
    aSubjects[RouteText(it) + of] = ToJson(it);
  }
  for (const base::UpstreamId& it : aService.mLeaving) {
    aSubjects["leaving mark on upstream " + it.Text() + of] =
      nlohmann::json::object();
  }
}

Subjects SubjectsOf(const Snapshot& aSnapshot)
{
  Snapshot sorted = aSnapshot;
  SortSnapshot(sorted);
  Subjects subjects;
  AddTopology(subjects, sorted.mTopology);
  for (const ServiceFile& it : sorted.mServices) {
    AddService(subjects, it);
  }
  return subjects;
}

/** Lists the fields that differ; both objects have the same keys. */
std::string DetailOf(const nlohmann::json& aBefore,
                     const nlohmann::json& aAfter)
{
  std::string detail;
  for (const auto& [key, value] : aAfter.items()) {
    const nlohmann::json& before = aBefore.at(key);
    if (before != value) {
      detail += (detail.empty() ? "" : ", ") + key + ' ' +
                internal::Dump(before) + " -> " + internal::Dump(value);
    }
  }
  return detail;
}

} // namespace

std::vector<SnapshotChange> DiffSnapshots(const Snapshot& aBefore,
                                          const Snapshot& aAfter)
{
  using Kind = SnapshotChange::Kind;
  const Subjects before = SubjectsOf(aBefore);
  const Subjects after = SubjectsOf(aAfter);
  Subjects all = before;
  all.insert(after.begin(), after.end());
  std::vector<SnapshotChange> changes;
  for (const auto& [subject, value] : all) {
    const auto old = before.find(subject);
    const auto now = after.find(subject);
    if (old == before.end()) {
      changes.push_back({ Kind::Added, subject, {} });
    } else if (now == after.end()) {
      changes.push_back({ Kind::Removed, subject, {} });
    } else if (old->second != now->second) {
      changes.push_back(
        { Kind::Changed, subject, DetailOf(old->second, now->second) });
    }
  }
  return changes;
}

std::string ChangeText(const SnapshotChange& aChange)
{
  switch (aChange.mKind) {
    case SnapshotChange::Kind::Added:
      return "+ " + aChange.mSubject;
    case SnapshotChange::Kind::Removed:
      return "- " + aChange.mSubject;
    case SnapshotChange::Kind::Changed:
      break;
  }
  return "~ " + aChange.mSubject + ": " + aChange.mDetail;
}

} // namespace auburnmux::config
