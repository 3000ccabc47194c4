#include "placing/src/WarmObjects.h"

namespace auburnmux::placing {

void WarmObjects::Touch(ObjectHash aObject)
{
  const auto it = mIndex.find(aObject);
  if (it != mIndex.end()) {
    mOrder.splice(mOrder.begin(), mOrder, it->second);
    return;
  }
  mOrder.push_front(aObject);
  mIndex[aObject] = mOrder.begin();
  if (mOrder.size() > mCapacity) {
    mIndex.erase(mOrder.back());
    mOrder.pop_back();
  }
}

void WarmObjects::Clear()
{
  mOrder.clear();
  mIndex.clear();
}

} // namespace auburnmux::placing
