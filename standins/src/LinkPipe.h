#pragma once

#include "http/Http.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace auburnmux::standins {

/** What a link does to the bytes of one direction. */
struct PipeFaults
{
  /** Bytes wait until this ends; TCP loses none. */
  bool mIsHeld = false;
  base::Duration mDelay{};
};

/** Moves bytes in one direction between two connected sockets. */
class LinkPipe
{
public:
  /** Calls \a aOnEnd once when no byte will follow. */
  LinkPipe(http::Loop& aLoop, const PipeFaults& aFaults, int aFrom, int aTo,
           std::function<void()> aOnEnd);
  ~LinkPipe();
  LinkPipe(const LinkPipe&) = delete;
  LinkPipe& operator=(const LinkPipe&) = delete;

  /** Goes on under the faults that are now in force. */
  void Update();
  /** Holds all bytes from now on, for good; neither side is told. */
  void Silence();

private:
  struct Chunk
  {
    base::TimePoint mDue;
    std::string mBytes;
  };

  bool IsHeld() const { return mFaults.mIsHeld || mIsSilent; }
  void Read();
  void WriteDue();
  void WatchIfWanted();
  void ScheduleWrite();
  void End();

  http::Loop& mLoop;
  const PipeFaults& mFaults;
  int mFrom;
  int mTo;
  std::function<void()> mOnEnd;
  std::deque<Chunk> mQueue;
  std::size_t mQueuedBytes = 0;
  bool mIsAtEnd = false;
  bool mIsSilent = false;
  std::optional<http::Loop::WatchId> mWatch;
  std::optional<http::Loop::TimerId> mTimer;
};

} // namespace auburnmux::standins
