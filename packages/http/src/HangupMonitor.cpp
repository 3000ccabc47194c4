#include "http/src/HangupMonitor.h"

#include <array>
#include <cassert>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace auburnmux::http::internal {

HangupMonitor::HangupMonitor(Loop& aLoop, OnHangup aOnHangup)
  : mLoop(aLoop)
  , mOnHangup(std::move(aOnHangup))
  , mEpoll(epoll_create1(EPOLL_CLOEXEC))
{
  assert(mEpoll >= 0);
  mWatch = mLoop.Watch(mEpoll, [this] { HandleEvents(); });
}

HangupMonitor::~HangupMonitor()
{
  mLoop.Unwatch(mWatch);
  close(mEpoll);
}

void HangupMonitor::Add(int aDescriptor)
{
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLET;
  event.data.fd = aDescriptor;
  epoll_ctl(mEpoll, EPOLL_CTL_ADD, aDescriptor, &event);
}

void HangupMonitor::HandleEvents()
{
  std::array<epoll_event, 64> events{};
  const int n =
    epoll_wait(mEpoll, events.data(), static_cast<int>(events.size()), 0);
  for (int i = 0; i < n; ++i) {
    mOnHangup(events[static_cast<std::size_t>(i)].data.fd);
  }
}

} // namespace auburnmux::http::internal
