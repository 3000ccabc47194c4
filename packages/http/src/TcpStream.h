#pragma once

#include "http/src/Loop.h"
#include "http/src/Message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace auburnmux::http::internal {

/**
 * Bytes that one connection may read in one turn of the loop, so that an
 * upload takes no long turn from a short request.
 */
constexpr std::size_t kTurnBytes = 16384;

/** How long a connection may stay silent before the kernel gives it up. */
struct SilenceLimits
{
  /** Longest time that sent data stays unacknowledged. */
  base::Duration mUnacknowledged = std::chrono::seconds(10);
  /** Silence after which probes are sent; a second apart, three at most. */
  base::Duration mProbeAfter = std::chrono::seconds(10);
};

/** A non-blocking TCP connection with a buffer of bytes to send. */
class TcpStream
{
public:
  enum class ReadResult
  {
    /** Bytes were appended; there may be more. */
    Data,
    /** Bytes were appended or not; there are no more for now. */
    Blocked,
    /** The other side closed its end. */
    End,
    Broken
  };

  TcpStream(Loop& aLoop, SocketWatcher& aWatcher);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /** Takes over an accepted descriptor. */
  void Adopt(int aDescriptor);
  /**
   * Begins to connect from \a aSource (empty for any address). The first
   * readiness to write tells the outcome, see IsConnected().
   * \returns whether the attempt is under way
   */
  bool Connect(const Endpoint& aTo, const std::string& aSource,
               const SilenceLimits& aLimits);
  /** \returns whether the connection is established, after a readiness. */
  bool IsConnected() const;

  bool IsOpen() const { return mDescriptor >= 0; }
  int Descriptor() const { return mDescriptor; }
  /**
   * Notes that the other side closed its end. No further readiness tells of
   * it, so that Read() reports Blocked no more until it has found the end.
   */
  void NoteHangUp() { mIsHungUp = true; }
  /** Appends at most kTurnBytes to \a aOut. */
  ReadResult Read(std::string& aOut);
  /** Queues bytes; Flush() sends them. */
  void Queue(std::string_view aBytes) { mOut += aBytes; }
  /** Sends what is queued as far as possible. \returns false when broken. */
  bool Flush();
  /** \returns bytes queued and not yet handed to the kernel. */
  std::size_t Pending() const { return mOut.size() - mOutStart; }
  /** \returns bytes that the other side's kernel has not acknowledged, those
   * that are queued here included. */
  std::size_t Unacknowledged() const;
  /** \returns whether any byte was handed to the kernel since MarkUnsent(). */
  bool HasSent() const { return mHasSent; }
  void MarkUnsent() { mHasSent = false; }
  /** Tells the other side that nothing more is sent. */
  void CloseForSending();
  void Close();
  /** Closes at once; what the other side has not acknowledged is discarded
   * instead of being delivered later. */
  void CloseDiscarding();

private:
  Loop& mLoop;
  SocketWatcher& mWatcher;
  int mDescriptor = -1;
  std::string mOut;
  std::size_t mOutStart = 0;
  bool mHasSent = false;
  bool mIsHungUp = false;
};

} // namespace auburnmux::http::internal
