#pragma once

#include "base/Base.h"

#include <functional>
#include <memory>

namespace auburnmux::http {

/** Readiness changes of a socket since the last call. */
struct SocketReadiness
{
  bool mIsReadable = false;
  bool mIsWritable = false;
  /** The peer closed its sending side, or the connection broke. */
  bool mIsHungUp = false;
  /** The connection broke, e.g. by a reset. */
  bool mIsBroken = false;
};

/** Receives the readiness changes of a socket that a Loop observes. */
class SocketWatcher
{
public:
  virtual ~SocketWatcher() = default;
  virtual void OnReady(SocketReadiness aReadiness) = 0;
};

/**
 * The single-threaded event loop of a process, for timers, watched descriptors
 * and sockets. libwebsockets polls the watched descriptors, which are few;
 * sockets share one epoll set, so that the cost of an iteration doesn't grow
 * with the number of sockets. No member may be called from another thread.
 */
class Loop
{
public:
  using Task = std::function<void()>;
  using TimerId = base::Quantity<struct TimerIdTag>;
  using WatchId = base::Quantity<struct WatchIdTag>;

  /** Aborts the process when libwebsockets can't create its context. */
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /** \returns the monotonic time now. */
  base::TimePoint Now() const;
  /** \returns the event loop lag: the delay of the timers that ran last, or the
   * time since which every iteration had more ready sockets than it could
   * serve, whichever is longer. */
  base::Duration Lateness() const;
  /** \returns the wall clock time now. */
  static base::WallTime WallNow();

  /** Runs \a aTask once after \a aDelay. \returns an id for Cancel(). */
  TimerId After(base::Duration aDelay, Task aTask);
  /** Runs \a aTask every \a aPeriod until cancelled. */
  TimerId Every(base::Duration aPeriod, Task aTask);
  /** Cancels a timer; ids of unknown and expired timers are ignored. */
  void Cancel(TimerId aTimer);

  /** Runs \a aTask once, after the events of the current iteration. */
  void Post(Task aTask);

  /**
   * Reports each readiness change of \a aSocket once (edge-triggered) to
   * \a aWatcher, until Release(). The loop doesn't own the socket. Hang-ups are
   * reported before any other change, and before overdue timers run.
   */
  void Observe(int aSocket, SocketWatcher& aWatcher);
  /** Ends Observe(). Must be called before the socket is closed. */
  void Release(int aSocket);

  /**
   * Runs \a aTask whenever \a aDescriptor is readable. The loop doesn't own the
   * descriptor, which must stay open until Unwatch().
   */
  WatchId Watch(int aDescriptor, Task aTask);
  void Unwatch(WatchId aWatch);

  /** Processes events until Stop(). */
  void Run();
  /** Runs one iteration; waits for an event if none is due. */
  void RunOnce();
  void Stop();

  /** Shared with the callbacks of libwebsockets. */
  struct Impl;

private:
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::http
