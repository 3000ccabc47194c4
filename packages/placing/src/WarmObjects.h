#pragma once

#include "base/Base.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace auburnmux::placing {

/** Hash of what identifies an object within a service. */
using ObjectHash = base::Quantity<struct ObjectHashTag>;

/** The objects that one upstream handled last for this host. */
class WarmObjects
{
public:
  /** \param aCapacity objects remembered */
  explicit WarmObjects(std::size_t aCapacity = kDefaultCapacity)
    : mCapacity(aCapacity)
  {
  }

  void Touch(ObjectHash aObject);
  bool Contains(ObjectHash aObject) const { return mIndex.count(aObject) > 0; }
  void Clear();

private:
  static constexpr std::size_t kDefaultCapacity = 48;

  std::size_t mCapacity;
  /** Most recent first. */
  std::list<ObjectHash> mOrder;
  std::unordered_map<ObjectHash, std::list<ObjectHash>::iterator> mIndex;
};

} // namespace auburnmux::placing
