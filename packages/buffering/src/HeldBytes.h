#pragma once

#include "base/Base.h"

#include <array>
#include <cstddef>
#include <memory>

namespace auburnmux::buffering {

/** Whom buffered bytes are for. */
enum class Receiver
{
  /** Responses: buffered, or queued to a client. */
  Client,
  /** Request bodies: buffered, or queued to an upstream. */
  Upstream
};

/** The bytes that a host holds in all its buffers; each buffer counts its own
 * through a Holding. */
class HeldBytes
{
public:
  base::ByteCount Total() const { return mBytes[0] + mBytes[1]; }
  base::ByteCount For(Receiver aReceiver) const
  {
    return mBytes[static_cast<std::size_t>(aReceiver)];
  }

private:
  friend class Holding;

  std::array<base::ByteCount, 2> mBytes{};
};

/** The bytes of one buffer in the account of its host. */
class Holding
{
public:
  /** Counts nothing. */
  Holding() = default;
  /** \param aAccount null to count nothing */
  Holding(std::shared_ptr<HeldBytes> aAccount, Receiver aReceiver);
  ~Holding();
  Holding(const Holding&) = delete;
  Holding& operator=(const Holding&) = delete;

  /** Sets the current number of bytes in the buffer. */
  void Set(std::size_t aBytes);

private:
  std::shared_ptr<HeldBytes> mAccount;
  Receiver mReceiver = Receiver::Client;
  std::size_t mBytes = 0;
};

} // namespace auburnmux::buffering
