#include "standins/src/ConnectionTable.h"

#include <algorithm>
#include <linux/filter.h>
#include <sys/socket.h>

namespace auburnmux::standins {

bool ConnectionTable::OnOpen(int aDescriptor)
{
  if (mOpen.size() >= mLimit.Count()) {
    ++mRefused;
    return false;
  }
  mOpen.insert(aDescriptor);
  mMaxOpen = std::max(mMaxOpen, mOpen.size());
  return true;
}

void ConnectionTable::Silence()
{
  sock_filter dropAll{ BPF_RET | BPF_K, 0, 0, 0 };
  const sock_fprog program{ 1, &dropAll };
  for (const int it : mOpen) {
    setsockopt(it, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
  }
}

} // namespace auburnmux::standins
