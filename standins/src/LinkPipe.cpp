#include "standins/src/LinkPipe.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace auburnmux::standins {

namespace {

constexpr std::size_t kMaxQueuedBytes = std::size_t{ 1 } << 20U;
constexpr base::Duration kRetryWrite = std::chrono::milliseconds(1);

bool WouldBlock()
{
  return errno == EAGAIN || errno == EWOULDBLOCK;
}

} // namespace

LinkPipe::LinkPipe(http::Loop& aLoop, const PipeFaults& aFaults, int aFrom,
                   int aTo, std::function<void()> aOnEnd)
  : mLoop(aLoop)
  , mFaults(aFaults)
  , mFrom(aFrom)
  , mTo(aTo)
  , mOnEnd(std::move(aOnEnd))
{
  WatchIfWanted();
}

LinkPipe::~LinkPipe()
{
  if (mWatch) {
    mLoop.Unwatch(*mWatch);
  }
  if (mTimer) {
    mLoop.Cancel(*mTimer);
  }
}

void LinkPipe::Update()
{
  WriteDue();
  WatchIfWanted();
}

void LinkPipe::Silence()
{
  mIsSilent = true;
  WatchIfWanted();
}

void LinkPipe::WatchIfWanted()
{
  const bool isWanted =
    !mIsAtEnd && !IsHeld() && mQueuedBytes < kMaxQueuedBytes;
  if (isWanted && !mWatch) {
    mWatch = mLoop.Watch(mFrom, [this] { Read(); });
  } else if (!isWanted && mWatch) {
    mLoop.Unwatch(*mWatch);
    mWatch.reset();
  }
}

void LinkPipe::Read()
{
  std::array<char, 65536> buf;
  const ssize_t n = recv(mFrom, buf.data(), buf.size(), MSG_DONTWAIT);
  if (n > 0) {
    const auto size = static_cast<std::size_t>(n);
    mQueue.push_back(
      { mLoop.Now() + mFaults.mDelay, std::string(buf.data(), size) });
    mQueuedBytes += size;
  } else if (n == 0 || !WouldBlock()) {
    mIsAtEnd = true;
  }
  Update();
}

void LinkPipe::WriteDue()
{
  while (!mQueue.empty() && !IsHeld() && mQueue.front().mDue <= mLoop.Now()) {
    std::string& bytes = mQueue.front().mBytes;
    const ssize_t n =
      send(mTo, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n < 0 && !WouldBlock()) {
      mIsAtEnd = true;
      mQueue.clear();
      break;
    }
    if (n < 0) {
      break;
    }
    mQueuedBytes -= static_cast<std::size_t>(n);
    bytes.erase(0, static_cast<std::size_t>(n));
    if (bytes.empty()) {
      mQueue.pop_front();
    }
  }
  if (!mQueue.empty()) {
    ScheduleWrite();
  } else if (mIsAtEnd) {
    End();
  }
}

void LinkPipe::ScheduleWrite()
{
  if (!mTimer && !IsHeld()) {
    mTimer = mLoop.After(
      std::max(mQueue.front().mDue - mLoop.Now(), kRetryWrite), [this] {
        mTimer.reset();
        Update();
      });
  }
}

void LinkPipe::End()
{
  if (const auto onEnd = std::exchange(mOnEnd, nullptr)) {
    shutdown(mTo, SHUT_WR);
    onEnd();
  }
}

} // namespace auburnmux::standins
