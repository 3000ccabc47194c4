#include "standins/src/ObjectStore.h"

namespace auburnmux::standins {

bool ObjectStore::IsMet(const std::string& aName,
                        const WriteCondition& aCondition) const
{
  const ObjectState state = Get(aName);
  if (aCondition.mIfAbsent && state.IsPresent()) {
    return false;
  }
  return !aCondition.mIfVersion ||
         (state.IsPresent() && state.mVersion == *aCondition.mIfVersion);
}

std::optional<base::ObjectVersion> ObjectStore::Put(
  const std::string& aName, std::string aValue,
  const WriteCondition& aCondition, base::TimePoint aNow)
{
  if (!IsMet(aName, aCondition)) {
    return std::nullopt;
  }
  mLastVersion += base::ObjectVersion(1);
  Append(
    aName,
    { mLastVersion, std::make_shared<const std::string>(std::move(aValue)) },
    aNow);
  return mLastVersion;
}

bool ObjectStore::Delete(const std::string& aName,
                         const WriteCondition& aCondition, base::TimePoint aNow)
{
  if (!IsMet(aName, aCondition)) {
    return false;
  }
  if (Get(aName).IsPresent()) {
    mLastVersion += base::ObjectVersion(1);
    Append(aName, {}, aNow);
  }
  return true;
}

void ObjectStore::Append(const std::string& aName, ObjectState aState,
                         base::TimePoint aNow)
{
  History& history = mObjects[aName];
  if (history.empty()) {
    history.push_back({ base::TimePoint(), {} });
  }
  history.push_back({ aNow, std::move(aState) });
  while (history.size() > 1 && history[1].mSince <= aNow - mStaleness) {
    history.pop_front();
  }
}

ObjectState ObjectStore::StateAt(const History& aHistory,
                                 base::TimePoint aTime) const
{
  ObjectState state = aHistory.front().mState;
  for (const Entry& it : aHistory) {
    if (it.mSince <= aTime) {
      state = it.mState;
    }
  }
  return state;
}

ObjectState ObjectStore::Get(const std::string& aName) const
{
  const auto it = mObjects.find(aName);
  return it == mObjects.end() ? ObjectState() : it->second.back().mState;
}

ObjectState ObjectStore::Read(const std::string& aName,
                              base::TimePoint aNow) const
{
  const auto it = mObjects.find(aName);
  return it == mObjects.end() ? ObjectState()
                              : StateAt(it->second, aNow - mStaleness);
}

std::vector<std::pair<std::string, base::ObjectVersion>> ObjectStore::List(
  const std::string& aPrefix, base::TimePoint aNow) const
{
  std::vector<std::pair<std::string, base::ObjectVersion>> found;
  for (auto it = mObjects.lower_bound(aPrefix);
       it != mObjects.end() && it->first.rfind(aPrefix, 0) == 0; ++it) {
    const ObjectState state = StateAt(it->second, aNow - mStaleness);
    if (state.IsPresent()) {
      found.emplace_back(it->first, state.mVersion);
    }
  }
  return found;
}

} // namespace auburnmux::standins
