#pragma once

#include "base/Base.h"

#include <functional>
#include <memory>

namespace auburnmux::http {

/** What happened on a socket since the last call. */
struct SocketReadiness
{
  bool mIsReadable = false;
  bool mIsWritable = false;
  /** The other side closed its end, or the connection broke. */
  bool mIsHungUp = false;
};

/** Receives the readiness of a socket that a Loop watches. */
class SocketWatcher
{
public:
  virtual ~SocketWatcher() = default;
  virtual void OnReady(SocketReadiness aReadiness) = 0;
};

/**
 * The one event loop of a process, on one thread: timers, foreign descriptors
 * and sockets. libwebsockets waits for the few descriptors of the loop itself;
 * sockets share one epoll set, so that a turn costs the same with thousands of
 * them. No member may be called from another thread.
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
  /** \returns how late the process gets to its events: the delay of the timers
   * that ran last, or the time for which there were always more ready sockets
   * than one turn serves. */
  base::Duration Lateness() const;
  /** \returns the wall clock time now. */
  static base::WallTime WallNow();

  /** Runs \a aTask once after \a aDelay. \returns an id for Cancel(). */
  TimerId After(base::Duration aDelay, Task aTask);
  /** Runs \a aTask every \a aPeriod until cancelled. */
  TimerId Every(base::Duration aPeriod, Task aTask);
  /** Drops a timer; unknown and past ids are ignored. */
  void Cancel(TimerId aTimer);

  /** Runs \a aTask once, after the events that are being served. */
  void Post(Task aTask);

  /**
   * Reports each change of readiness of \a aSocket once (edge-triggered) to
   * \a aWatcher, until Release(). The socket stays the caller's. Connections
   * that ended are reported before any other change, and before timers that
   * are late.
   */
  void Observe(int aSocket, SocketWatcher& aWatcher);
  /** Ends Observe(). To be called before the socket is closed. */
  void Release(int aSocket);

  /**
   * Runs \a aTask whenever \a aDescriptor is readable. The descriptor stays
   * the caller's, who must keep it open until Unwatch().
   */
  WatchId Watch(int aDescriptor, Task aTask);
  void Unwatch(WatchId aWatch);

  /** Serves events until Stop(). */
  void Run();
  /** Serves the events that are due, waiting at most until the next one. */
  void RunOnce();
  void Stop();

  /** Shared with the callbacks of libwebsockets. */
  struct Impl;

private:
  std::unique_ptr<Impl> mImpl;
};

} // namespace auburnmux::http
