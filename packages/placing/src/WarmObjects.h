#pragma once

#include "base/Base.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace auburnmux::placing {

/** Hash of an object's identity within its service. */
using ObjectHash = base::Quantity<struct ObjectHashTag>;

/** LRU set of the objects that this host sent to one upstream. */
class WarmObjects
{
public:
  /** \param aCapacity maximum number of objects */
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
  /** Most recently used first. */
  std::list<ObjectHash> mOrder;
  std::unordered_map<ObjectHash, std::list<ObjectHash>::iterator> mIndex;
};

} // namespace auburnmux::placing
