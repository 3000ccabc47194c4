#pragma once

#include "config/Config.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnmux::config::test {

/**
 * Object store in memory that fails on request. A write whose answer is lost
 * may take effect at once, later, or never; its condition holds in each case.
 * A stale read returns the pointer before the current one.
 */
class FakePlatform
{
public:
  enum class Fault : std::uint8_t
  {
    None,
    Outage,
    AnswerLost,
    RequestLost,
    Delayed,
    Stale
  };

  PublicationEvent Run(const PublicationAction& aAction, Fault aFault)
  {
    if (aFault == Fault::Outage) {
      return CallFailed{};
    }
    const auto* create = std::get_if<CreateObject>(&aAction);
    const auto* write = std::get_if<WritePointer>(&aAction);
    if (create == nullptr && write == nullptr) {
      return aFault == Fault::None || aFault == Fault::Stale
               ? Read(aFault == Fault::Stale ? 1 : 0)
               : PublicationEvent{ CallUnknown{} };
    }
    const Put put = create != nullptr
                      ? Put{ create->mName, create->mBytes, {} }
                      : Put{ kCurrentObject, write->mBytes, write->mIfVersion };
    if (aFault == Fault::Delayed) {
      mDelayed.push_back(put);
    }
    if (aFault == Fault::RequestLost || aFault == Fault::Delayed) {
      return CallUnknown{};
    }
    const bool isDone = Apply(put);
    if (aFault == Fault::AnswerLost) {
      return CallUnknown{};
    }
    return isDone ? PublicationEvent{ WriteDone{} }
                  : PublicationEvent{ WriteConflict{} };
  }

  /** Lets the delayed writes arrive. */
  void Deliver()
  {
    for (const Put& it : mDelayed) {
      Apply(it);
    }
    mDelayed.clear();
  }

  /** \returns every value that the pointer has had, oldest first. */
  const std::vector<std::string>& Pointers() const { return mPointers; }

  /** \returns the joined parts of a snapshot, as a host reads them. */
  std::string Join(const CurrentPointer& aPointer) const
  {
    std::string bytes;
    for (const std::string& it :
         PartNames(aPointer.mCurrent.mTag.mDigest, aPointer.mParts)) {
      const auto object = mObjects.find(it);
      bytes += object == mObjects.end() ? "" : object->second.mBytes;
    }
    return bytes;
  }

private:
  struct Put
  {
    std::string mName;
    std::string mBytes;
    base::ObjectVersion mIfVersion;
  };
  struct Object
  {
    std::string mBytes;
    base::ObjectVersion mVersion;
  };

  /** Reads the pointer as it was \a aAge writes ago. */
  PublicationEvent Read(std::size_t aAge) const
  {
    if (mPointers.size() <= aAge) {
      return PointerAbsent{};
    }
    const std::size_t version = mPointers.size() - aAge;
    return PointerFound{ base::ObjectVersion{ version },
                         mPointers[version - 1] };
  }

  bool Apply(const Put& aPut)
  {
    Object& object = mObjects[aPut.mName];
    if (object.mVersion != aPut.mIfVersion) {
      return false;
    }
    object.mBytes = aPut.mBytes;
    object.mVersion += base::ObjectVersion{ 1 };
    if (aPut.mName == kCurrentObject) {
      mPointers.push_back(aPut.mBytes);
    }
    return true;
  }

  std::map<std::string, Object> mObjects;
  std::vector<Put> mDelayed;
  std::vector<std::string> mPointers;
};

} // namespace auburnmux::config::test
