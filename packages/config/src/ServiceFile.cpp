#include "config/src/ServiceFile.h"

#include "config/src/JsonReader.h"
#include "config/src/internal/TreeReaders.h"

#include <algorithm>

namespace auburnmux::config {

bool ServiceFile::IsLeaving(const base::UpstreamId& aUpstream) const
{
  return std::find(mLeaving.begin(), mLeaving.end(), aUpstream) !=
         mLeaving.end();
}

const Upstream* ServiceFile::FindUpstream(
  const base::UpstreamId& aUpstream) const
{
  const auto it = std::find_if(
    mUpstreams.begin(), mUpstreams.end(),
    [&](const Upstream& aOther) { return aOther.mId == aUpstream; });
  return it == mUpstreams.end() ? nullptr : &*it;
}

const Route* ServiceFile::FindRoute(HttpMethod aMethod,
                                    std::string_view aPath) const
{
  const Route* best = nullptr;
  for (const Route& it : mRoutes) {
    if (it.HasMethod(aMethod) && it.MatchesPath(aPath) &&
        (best == nullptr || it.mPath.size() > best->mPath.size())) {
      best = &it;
    }
  }
  return best;
}

base::SlotCount ServiceFile::SlotsIn(
  const base::DataCentreId& aDataCentre) const
{
  base::SlotCount slots;
  for (const Upstream& it : mUpstreams) {
    if (it.mDataCentre == aDataCentre) {
      slots += it.mSlots;
    }
  }
  return slots;
}

ServiceFile ParseServiceFile(std::string_view aText, const std::string& aFile,
                             ParseReport& aReport)
{
  const std::optional<JsonValue> root = ReadJson(aText, aFile, aReport.mErrors);
  if (!root) {
    return {};
  }
  return internal::ReadService(*root, { aFile, aReport.mErrors });
}

} // namespace auburnmux::config
