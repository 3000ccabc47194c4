#pragma once

#include "base/Base.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace auburnmux::standins {

/** A stored value; its version is 0 when the object is absent. */
struct ObjectState
{
  base::ObjectVersion mVersion;
  std::shared_ptr<const std::string> mValue;

  bool IsPresent() const { return mValue != nullptr; }
};

/** What a write expects of the object; neither set means no condition. */
struct WriteCondition
{
  std::optional<base::ObjectVersion> mIfVersion;
  bool mIfAbsent = false;
};

/**
 * The objects of the platform, with versions from one counter. It can show
 * the state of a moment ago, as a store with lagging replicas does.
 */
class ObjectStore
{
public:
  /** \returns the new version; unset when \a aCondition isn't met. */
  std::optional<base::ObjectVersion> Put(const std::string& aName,
                                         std::string aValue,
                                         const WriteCondition& aCondition,
                                         base::TimePoint aNow);
  /** \returns whether \a aCondition was met. */
  bool Delete(const std::string& aName, const WriteCondition& aCondition,
              base::TimePoint aNow);

  /** \returns the newest state. */
  ObjectState Get(const std::string& aName) const;
  /** \returns the state as of \a aNow minus the staleness. */
  ObjectState Read(const std::string& aName, base::TimePoint aNow) const;
  /** \returns the names that start with \a aPrefix, as Read() sees them. */
  std::vector<std::pair<std::string, base::ObjectVersion>> List(
    const std::string& aPrefix, base::TimePoint aNow) const;

  /** Reads lag by \a aStaleness, but never show a state older than now. */
  void SetStaleness(base::Duration aStaleness) { mStaleness = aStaleness; }

private:
  struct Entry
  {
    base::TimePoint mSince;
    ObjectState mState;
  };
  using History = std::deque<Entry>;

  bool IsMet(const std::string& aName, const WriteCondition& aCondition) const;
  void Append(const std::string& aName, ObjectState aState,
              base::TimePoint aNow);
  ObjectState StateAt(const History& aHistory, base::TimePoint aTime) const;

  std::map<std::string, History> mObjects;
  base::ObjectVersion mLastVersion;
  base::Duration mStaleness{};
};

} // namespace auburnmux::standins
