#pragma once

#include "buffering/Buffering.h"
#include "http/src/ClosedWindow.h"
#include "http/src/Loop.h"
#include "http/src/Message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburnmux::http::internal {

/**
 * Maximum bytes of one Read(). Together with a limit on reads per iteration of
 * the event loop, this keeps a large upload from delaying short requests.
 */
constexpr std::size_t kMaxReadBytes = 16384;

/** Timeouts after which the kernel closes an unresponsive connection. */
struct SilenceLimits
{
  /** Maximum time that sent data may stay unacknowledged. */
  base::Duration mUnacknowledgedTimeout = std::chrono::seconds(10);
  /** Idle time after which TCP keep-alive probes are sent, one second apart. */
  base::Duration mProbeAfter = std::chrono::seconds(10);
  /** Unanswered probes after which the connection is closed. */
  std::uint32_t mMaxProbes = 3;
};

/** A non-blocking TCP connection with a buffer of bytes to send. */
class TcpStream
{
public:
  enum class ReadResult
  {
    /** Bytes were appended; more may be available. */
    Data,
    /** No more bytes are available for now; some may have been appended. */
    Blocked,
    /** The peer closed its sending side. */
    End,
    Broken
  };

  /** \param aAccount counts the queued bytes; null if nothing does */
  TcpStream(Loop& aLoop, SocketWatcher& aWatcher,
            std::shared_ptr<buffering::HeldBytes> aAccount = nullptr,
            buffering::Receiver aReceiver = buffering::Receiver::Client);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /** Takes ownership of a connected or connecting descriptor. */
  void Adopt(int aDescriptor);
  /**
   * Starts connecting from \a aSource (empty for any address). The outcome is
   * known at the first readiness event, see ConnectError().
   * \returns whether the attempt was started
   */
  bool Connect(const Endpoint& aTo, const std::string& aSource,
               const SilenceLimits& aLimits);
  /** \returns the error number (errno) with which connecting failed, 0 if it
   * succeeded. \pre a readiness event arrived */
  int ConnectError() const;

  bool IsOpen() const { return mDescriptor >= 0; }
  int Descriptor() const { return mDescriptor; }
  /**
   * Records that the peer closed its sending side. As no further readiness
   * event reports it, Read() then returns Data instead of Blocked after a short
   * read, until it reaches the end.
   */
  void MarkHungUp() { mIsHungUp = true; }
  /** Reads at most kMaxReadBytes and appends them to \a aOut. */
  ReadResult Read(std::string& aOut);
  /** Queues bytes; Flush() sends them. */
  void Queue(std::string_view aBytes)
  {
    mOutput += aBytes;
    mHolding.Set(mOutput.size());
  }
  /** Sends queued bytes until the socket would block. \returns false if the
   * connection broke. */
  bool Flush();
  /** \returns the number of queued bytes not yet written to the socket. */
  std::size_t PendingBytes() const { return mOutput.size() - mOutputStart; }
  /** \returns the number of bytes, queued ones included, that the peer's kernel
   * has not acknowledged. */
  std::size_t UnacknowledgedBytes() const;
  /** \returns the number of bytes that the peer's kernel has acknowledged. */
  std::uint64_t AcknowledgedBytes() const
  {
    return mSentBytes - UnacknowledgedSentBytes();
  }
  /** \returns what became of the sent and queued bytes; none if the kernel
   * doesn't tell. */
  std::optional<SendProgress> Progress() const;
  /** Sets the time after which the kernel closes the connection if sent bytes
   * are not acknowledged, or the peer's receive window stays closed, for that
   * long; zero for its default of many minutes. */
  void SetUnacknowledgedTimeout(base::Duration aTimeout);
  /** \returns whether any byte was sent since ResetHasSent(). */
  bool HasSent() const { return mHasSent; }
  void ResetHasSent() { mHasSent = false; }
  /** Closes the sending side of the connection (half-close). The peer has to
   * acknowledge this like a byte. Queued bytes are dropped. */
  void ShutdownSending();
  void Close();
  /** Closes the connection. Bytes that the peer has not acknowledged are
   * discarded by a reset instead of being delivered later. */
  void CloseDiscardingUnacknowledged();
  /** Makes Close() discard what the peer has not acknowledged. */
  void DiscardOnClose();

private:
  /** \returns the number of sent bytes that are not acknowledged. */
  std::size_t UnacknowledgedSentBytes() const;
  /** Frees the sent part of a buffer that could not be sent at once. */
  void DropSent();

  Loop& mLoop;
  SocketWatcher& mWatcher;
  int mDescriptor = -1;
  std::string mOutput;
  std::size_t mOutputStart = 0;
  /** Counts mOutput, of which the sent part is still in memory. */
  buffering::Holding mHolding;
  /** Bytes written to the socket since it was opened. */
  std::uint64_t mSentBytes = 0;
  bool mHasSent = false;
  bool mIsHungUp = false;
  /** Whether a call failed. The kernel reports an error once; later reads look
   * as if the peer had closed the connection in order. */
  bool mIsBroken = false;
};

} // namespace auburnmux::http::internal
