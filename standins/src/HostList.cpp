#include "standins/src/HostList.h"

namespace auburnmux::standins {

void HostList::Announce(const std::string& aId, const nlohmann::json& aFields,
                        base::TimePoint aNow)
{
  Entry& entry = mHosts[aId];
  entry.mAnnounced = aNow;
  nlohmann::json fields = aFields;
  fields["id"] = aId;
  if (fields != entry.mLatest) {
    entry.mLatest = fields;
    entry.mPending.push_back({ aNow + mLags.mListing, std::move(fields) });
  }
}

nlohmann::json HostList::List(base::TimePoint aNow)
{
  nlohmann::json list = nlohmann::json::array();
  for (auto it = mHosts.begin(); it != mHosts.end();) {
    Entry& entry = it->second;
    if (aNow - entry.mAnnounced > mLags.mDropping) {
      it = mHosts.erase(it);
      continue;
    }
    while (!entry.mPending.empty() && entry.mPending.front().mShown <= aNow) {
      entry.mListed = std::move(entry.mPending.front().mFields);
      entry.mPending.pop_front();
    }
    if (!entry.mListed.is_null()) {
      list.push_back(entry.mListed);
    }
    ++it;
  }
  return list;
}

} // namespace auburnmux::standins
