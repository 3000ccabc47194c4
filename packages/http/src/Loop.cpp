#include "http/src/Loop.h"

#include "http/src/Internal.h"

#include <cassert>
#include <chrono>
#include <libwebsockets.h>
#include <unistd.h>
#include <unordered_map>

namespace auburnmux::http {

namespace internal {

struct Timer
{
  lws_sorted_usec_list_t mEntry{}; // must stay first: lws hands it back
  Loop::Impl* mLoop = nullptr;
  Loop::TimerId mId;
  base::Duration mPeriod{};
  Loop::Task mTask;
};

struct Watcher
{
  Loop::Task mTask;
  lws* mWsi = nullptr;
};

} // namespace internal

struct Loop::Impl
{
  lws_context* mContext = nullptr;
  lws_vhost* mWatchHost = nullptr;
  bool mIsStopped = false;
  std::uint64_t mNextId = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<internal::Timer>> mTimers;
  std::unordered_map<std::uint64_t, std::unique_ptr<internal::Watcher>>
    mWatchers;

  void Schedule(internal::Timer& aTimer, base::Duration aDelay);
  TimerId Start(base::Duration aDelay, base::Duration aPeriod, Task aTask);
  void Fire(TimerId aTimer);
};

namespace {

constexpr unsigned kMaxHeaderBytes = 16384;
constexpr unsigned short kMaxHeaderBlocks = 8192;

lws_usec_t ToUsec(base::Duration aDelay)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aDelay).count();
}

int OnWatchEvent(lws* aWsi, lws_callback_reasons aReason, void* /*aUser*/,
                 void* /*aIn*/, std::size_t /*aLength*/)
{
  if (aReason == LWS_CALLBACK_RAW_RX_FILE) {
    auto* watcher =
      static_cast<internal::Watcher*>(lws_get_opaque_user_data(aWsi));
    if (watcher != nullptr && watcher->mTask) {
      const Loop::Task task = watcher->mTask; // the task may call Unwatch()
      task();
    }
  }
  return 0;
}

const lws_protocols kWatchProtocols[] = {
  { "watch", OnWatchEvent, 0, 0, 0, nullptr, 0 },
  { nullptr, nullptr, 0, 0, 0, nullptr, 0 }
};

void OnTimer(lws_sorted_usec_list_t* aEntry)
{
  auto* timer = reinterpret_cast<internal::Timer*>(aEntry);
  timer->mLoop->Fire(timer->mId);
}

} // namespace

void Loop::Impl::Schedule(internal::Timer& aTimer, base::Duration aDelay)
{
  // libwebsockets takes 0 as "set no timer".
  const lws_usec_t delay = ToUsec(aDelay) > 0 ? ToUsec(aDelay) : 1;
  lws_sul_schedule(mContext, 0, &aTimer.mEntry, OnTimer, delay);
}

Loop::TimerId Loop::Impl::Start(base::Duration aDelay, base::Duration aPeriod,
                                Task aTask)
{
  auto timer = std::make_unique<internal::Timer>();
  timer->mLoop = this;
  timer->mId = TimerId(mNextId++);
  timer->mPeriod = aPeriod;
  timer->mTask = std::move(aTask);
  Schedule(*timer, aDelay);
  const TimerId id = timer->mId;
  mTimers.emplace(id.Count(), std::move(timer));
  return id;
}

void Loop::Impl::Fire(TimerId aTimer)
{
  const auto it = mTimers.find(aTimer.Count());
  if (it == mTimers.end()) {
    return;
  }
  const Task task = it->second->mTask;
  if (it->second->mPeriod > base::Duration::zero()) {
    Schedule(*it->second, it->second->mPeriod);
  } else {
    mTimers.erase(it);
  }
  task();
}

Loop::Loop()
  : mImpl(std::make_unique<Impl>())
{
  lws_set_log_level(LLL_ERR, [](int /*aLevel*/, const char* aLine) {
    base::LogWarning(base::LogLine("lws").With("message", aLine));
  });
  lws_context_creation_info info{};
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.gid = static_cast<gid_t>(-1);
  info.uid = static_cast<uid_t>(-1);
  info.max_http_header_data2 = kMaxHeaderBytes;
  info.max_http_header_pool = kMaxHeaderBlocks;
  info.pt_serv_buf_size = internal::kTurnBytes;
  mImpl->mContext = lws_create_context(&info);
  assert(mImpl->mContext != nullptr);

  lws_context_creation_info watch{};
  // Not a server's: libwebsockets would bind requests to it by its port.
  watch.port = CONTEXT_PORT_NO_LISTEN;
  watch.vhost_name = "watch";
  watch.protocols = kWatchProtocols;
  mImpl->mWatchHost = lws_create_vhost(mImpl->mContext, &watch);
  assert(mImpl->mWatchHost != nullptr);
}

Loop::~Loop()
{
  for (auto& [id, timer] : mImpl->mTimers) {
    lws_sul_cancel(&timer->mEntry);
  }
  for (auto& [id, watcher] : mImpl->mWatchers) {
    watcher->mTask = nullptr;
  }
  lws_context_destroy(mImpl->mContext);
}

base::TimePoint Loop::Now() const
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return base::TimePoint(std::chrono::duration_cast<base::Duration>(now));
}

base::WallTime Loop::WallNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

Loop::TimerId Loop::After(base::Duration aDelay, Task aTask)
{
  return mImpl->Start(aDelay, base::Duration::zero(), std::move(aTask));
}

Loop::TimerId Loop::Every(base::Duration aPeriod, Task aTask)
{
  assert(aPeriod > base::Duration::zero());
  return mImpl->Start(aPeriod, aPeriod, std::move(aTask));
}

void Loop::Cancel(TimerId aTimer)
{
  const auto it = mImpl->mTimers.find(aTimer.Count());
  if (it != mImpl->mTimers.end()) {
    lws_sul_cancel(&it->second->mEntry);
    mImpl->mTimers.erase(it);
  }
}

Loop::WatchId Loop::Watch(int aDescriptor, Task aTask)
{
  auto watcher = std::make_unique<internal::Watcher>();
  watcher->mTask = std::move(aTask);
  // libwebsockets closes what it adopts, so it gets a duplicate.
  lws_sock_file_fd_type fd{};
  fd.filefd = dup(aDescriptor);
  watcher->mWsi = lws_adopt_descriptor_vhost(
    mImpl->mWatchHost, LWS_ADOPT_RAW_FILE_DESC, fd, "watch", nullptr);
  assert(watcher->mWsi != nullptr);
  lws_set_opaque_user_data(watcher->mWsi, watcher.get());
  const WatchId id(mImpl->mNextId++);
  mImpl->mWatchers.emplace(id.Count(), std::move(watcher));
  return id;
}

void Loop::Unwatch(WatchId aWatch)
{
  const auto it = mImpl->mWatchers.find(aWatch.Count());
  if (it == mImpl->mWatchers.end()) {
    return;
  }
  lws_set_opaque_user_data(it->second->mWsi, nullptr);
  lws_set_timeout(it->second->mWsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  mImpl->mWatchers.erase(it);
}

void Loop::Run()
{
  mImpl->mIsStopped = false;
  while (!mImpl->mIsStopped) {
    RunOnce();
  }
}

void Loop::RunOnce()
{
  lws_service(mImpl->mContext, 0);
}

void Loop::Stop()
{
  mImpl->mIsStopped = true;
  lws_cancel_service(mImpl->mContext);
}

lws_context* Loop::Context() const
{
  return mImpl->mContext;
}

} // namespace auburnmux::http
