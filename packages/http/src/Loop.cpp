#include "http/src/Loop.h"

#include "http/src/TimerQueue.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <chrono>
#include <deque>
#include <libwebsockets.h>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <unistd.h>
#include <unordered_map>
#include <vector>

namespace auburnmux::http {

namespace internal {

struct Watcher
{
  Loop::Task mTask;
  lws* mWsi = nullptr;
};

/** An observed socket. The generation distinguishes it from earlier sockets
 * with the same descriptor, whose events may still be queued. */
struct ObservedSocket
{
  SocketWatcher* mWatcher = nullptr;
  std::uint32_t mGeneration = 0;
};

/** A queued readiness change. */
struct ReadySocket
{
  int mDescriptor = -1;
  std::uint32_t mGeneration = 0;
  SocketReadiness mReadiness;
};

} // namespace internal

struct Loop::Impl
{
  lws_context* mContext = nullptr;
  lws_vhost* mWatchVhost = nullptr;
  bool mIsStopped = false;
  std::uint64_t mNextWatch = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<internal::Watcher>>
    mWatchers;
  internal::TimerQueue mTimers;
  // The timers of libwebsockets wake up a millisecond early and then busy-poll
  // until they are due; a timerfd wakes up on time.
  int mTimerDescriptor = -1;
  std::optional<base::TimePoint> mArmedTime;
  base::Duration mTimerDelay{};
  /** Since when each iteration has left ready sockets to the next one. */
  std::optional<base::TimePoint> mBacklogSince;
  bool mIsIterationScheduled = false;
  int mEpoll = -1;
  std::uint32_t mLastGeneration = 0;
  std::unordered_map<int, internal::ObservedSocket> mSockets;
  std::deque<internal::ReadySocket> mReadySockets;
  /** When epoll was last polled. */
  base::TimePoint mLastPoll;
  std::vector<Task> mPosted;

  static base::TimePoint Now();
  void ArmTimer();
  void Dispatch(const internal::ReadySocket& aReady);
  /** Queues the readiness changes from epoll; dispatches hang-ups at once. */
  void PollSockets();
  void OnSocketsReady();
  /** Schedules another iteration if ready sockets are left. */
  void ScheduleBacklog();
  void RunPosted();
  void OnTimer(base::TimePoint aNow);
};

namespace {

// Maximum time for which sockets are served in one iteration. After it, timers
// run, and epoll is polled again because the known readiness may be outdated.
constexpr base::Duration kMaxIterationTime = std::chrono::milliseconds(10);

// Maximum rounds of posted tasks at a time. Tasks may post further tasks
// endlessly, which would starve the other events.
constexpr int kMaxPostedRounds = 8;

// Maximum events fetched by one call of epoll_wait().
constexpr std::size_t kMaxEventsPerPoll = 256;

internal::ReadySocket ToReadySocket(const epoll_event& aEvent)
{
  internal::ReadySocket ready;
  ready.mDescriptor = static_cast<int>(aEvent.data.u64 >> 32U);
  ready.mGeneration = static_cast<std::uint32_t>(aEvent.data.u64);
  ready.mReadiness.mIsHungUp =
    (aEvent.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  ready.mReadiness.mIsBroken = (aEvent.events & EPOLLERR) != 0;
  ready.mReadiness.mIsReadable =
    (aEvent.events & EPOLLIN) != 0 || ready.mReadiness.mIsHungUp;
  ready.mReadiness.mIsWritable = (aEvent.events & EPOLLOUT) != 0;
  return ready;
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

} // namespace

void Loop::Impl::ArmTimer()
{
  const auto due = mTimers.NextDue();
  if (!due || due == mArmedTime) {
    return;
  }
  mArmedTime = due;
  // A time of zero would disarm the timerfd.
  const auto n =
    std::max<base::Duration::rep>(due->time_since_epoch().count(), 1);
  constexpr base::Duration::rep kNanosecondsPerSecond = 1'000'000'000;
  itimerspec spec{};
  spec.it_value.tv_sec = n / kNanosecondsPerSecond;
  spec.it_value.tv_nsec = n % kNanosecondsPerSecond;
  timerfd_settime(mTimerDescriptor, TFD_TIMER_ABSTIME, &spec, nullptr);
}

void Loop::Impl::OnTimer(base::TimePoint aNow)
{
  std::uint64_t n = 0;
  (void)!read(mTimerDescriptor, &n, sizeof n);
  const auto due = mTimers.NextDue();
  mTimerDelay = due && *due < aNow ? aNow - *due : base::Duration::zero();
  mArmedTime.reset();
  if (mTimerDelay > kMaxIterationTime) {
    // A late timer must see all hang-ups that happened before it runs.
    PollSockets();
    ScheduleBacklog();
  }
  mTimers.RunDue(aNow);
  ArmTimer();
}

void Loop::Impl::Dispatch(const internal::ReadySocket& aReady)
{
  const auto it = mSockets.find(aReady.mDescriptor);
  // An earlier event may have released the socket.
  if (it != mSockets.end() && it->second.mGeneration == aReady.mGeneration) {
    it->second.mWatcher->OnReady(aReady.mReadiness);
  }
}

void Loop::Impl::PollSockets()
{
  mLastPoll = Now();
  std::array<epoll_event, kMaxEventsPerPoll> events{};
  int n = 0;
  do {
    n = epoll_wait(mEpoll, events.data(), static_cast<int>(events.size()), 0);
    for (int i = 0; i < n; ++i) {
      const internal::ReadySocket ready =
        ToReadySocket(events[static_cast<std::size_t>(i)]);
      if (ready.mReadiness.mIsHungUp) {
        Dispatch(ready);
      } else {
        mReadySockets.push_back(ready);
      }
    }
  } while (n == static_cast<int>(events.size()));
}

void Loop::Impl::OnSocketsReady()
{
  PollSockets();
  while (!mReadySockets.empty() && Now() - mLastPoll < kMaxIterationTime) {
    const internal::ReadySocket ready = mReadySockets.front();
    mReadySockets.pop_front();
    Dispatch(ready);
  }
  ScheduleBacklog();
}

void Loop::Impl::ScheduleBacklog()
{
  if (mReadySockets.empty()) {
    mBacklogSince.reset();
    return;
  }
  if (!mBacklogSince) {
    mBacklogSince = mLastPoll;
  }
  if (!mIsIterationScheduled) {
    mIsIterationScheduled = true;
    mTimers.Add(Now(), base::Duration::zero(), [this] {
      mIsIterationScheduled = false;
      OnSocketsReady();
    });
    ArmTimer();
  }
}

void Loop::Impl::RunPosted()
{
  for (int i = 0; i < kMaxPostedRounds && !mPosted.empty(); ++i) {
    const std::vector<Task> tasks = std::exchange(mPosted, {});
    for (const Task& it : tasks) {
      it();
    }
  }
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
  mImpl->mContext = lws_create_context(&info);
  assert(mImpl->mContext != nullptr);

  lws_context_creation_info watch{};
  // This value marks the vhost as not a server's. libwebsockets would otherwise
  // bind requests to it by its port.
  watch.port = CONTEXT_PORT_NO_LISTEN;
  watch.vhost_name = "watch";
  watch.protocols = kWatchProtocols;
  mImpl->mWatchVhost = lws_create_vhost(mImpl->mContext, &watch);
  assert(mImpl->mWatchVhost != nullptr);

  mImpl->mTimerDescriptor =
    timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  assert(mImpl->mTimerDescriptor >= 0);
  Watch(mImpl->mTimerDescriptor, [this] { mImpl->OnTimer(Now()); });
  mImpl->mEpoll = epoll_create1(EPOLL_CLOEXEC);
  assert(mImpl->mEpoll >= 0);
  Watch(mImpl->mEpoll, [this] { mImpl->OnSocketsReady(); });
}

Loop::~Loop()
{
  for (auto& [id, watcher] : mImpl->mWatchers) {
    watcher->mTask = nullptr;
  }
  lws_context_destroy(mImpl->mContext);
  close(mImpl->mTimerDescriptor);
  close(mImpl->mEpoll);
}

base::TimePoint Loop::Impl::Now()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return base::TimePoint(std::chrono::duration_cast<base::Duration>(now));
}

base::TimePoint Loop::Now() const
{
  return Impl::Now();
}

base::Duration Loop::Lateness() const
{
  const auto behind = mImpl->mBacklogSince ? Now() - *mImpl->mBacklogSince
                                           : base::Duration::zero();
  return std::max(mImpl->mTimerDelay, behind);
}

base::WallTime Loop::WallNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

Loop::TimerId Loop::After(base::Duration aDelay, Task aTask)
{
  const TimerId id = mImpl->mTimers.Add(Now() + aDelay, base::Duration::zero(),
                                        std::move(aTask));
  mImpl->ArmTimer();
  return id;
}

Loop::TimerId Loop::Every(base::Duration aPeriod, Task aTask)
{
  assert(aPeriod > base::Duration::zero());
  const TimerId id =
    mImpl->mTimers.Add(Now() + aPeriod, aPeriod, std::move(aTask));
  mImpl->ArmTimer();
  return id;
}

void Loop::Cancel(TimerId aTimer)
{
  mImpl->mTimers.Remove(aTimer);
}

void Loop::Post(Task aTask)
{
  mImpl->mPosted.push_back(std::move(aTask));
}

void Loop::Observe(int aSocket, SocketWatcher& aWatcher)
{
  const std::uint32_t generation = ++mImpl->mLastGeneration;
  mImpl->mSockets[aSocket] = { &aWatcher, generation };
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = (static_cast<std::uint64_t>(aSocket) << 32U) | generation;
  epoll_ctl(mImpl->mEpoll, EPOLL_CTL_ADD, aSocket, &event);
}

void Loop::Release(int aSocket)
{
  if (mImpl->mSockets.erase(aSocket) > 0) {
    epoll_ctl(mImpl->mEpoll, EPOLL_CTL_DEL, aSocket, nullptr);
  }
}

Loop::WatchId Loop::Watch(int aDescriptor, Task aTask)
{
  auto watcher = std::make_unique<internal::Watcher>();
  watcher->mTask = std::move(aTask);
  // libwebsockets closes the descriptors that it adopts, so it gets a
  // duplicate.
  lws_sock_file_fd_type fd{};
  fd.filefd = dup(aDescriptor);
  watcher->mWsi = lws_adopt_descriptor_vhost(
    mImpl->mWatchVhost, LWS_ADOPT_RAW_FILE_DESC, fd, "watch", nullptr);
  assert(watcher->mWsi != nullptr);
  lws_set_opaque_user_data(watcher->mWsi, watcher.get());
  const WatchId id(mImpl->mNextWatch++);
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
  mImpl->RunPosted();
  if (!mImpl->mPosted.empty()) {
    After(base::Duration::zero(), [] {}); // lws_service() must not block
  }
  lws_service(mImpl->mContext, 0);
  mImpl->RunPosted();
}

void Loop::Stop()
{
  mImpl->mIsStopped = true;
  lws_cancel_service(mImpl->mContext);
}

} // namespace auburnmux::http
