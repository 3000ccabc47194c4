#pragma once

#include "base/src/Units.h"

#include <cstddef>
#include <cstdint>

namespace auburnmux::base {

/** Class of a request. Short work (checks, approvals) and long work (uploads)
 * never share a queue. */
enum class WorkClass : std::uint8_t
{
  Short,
  Long,
};

constexpr std::size_t kWorkClassCount = 2;

/** \returns the index of \a aClass in an array with one element per class. */
constexpr std::size_t ClassIndex(WorkClass aClass)
{
  return static_cast<std::size_t>(aClass);
}

/** Whether running the work twice has the same effect as running it once. */
enum class WorkKind : std::uint8_t
{
  Idempotent,
  NonIdempotent,
};

/** Outcome that the header `Work-Outcome` reports to the caller. */
enum class WorkOutcome : std::uint8_t
{
  Run,
  NotRun,
  NotKnown,
};

/** How an attempt to send a request to an upstream failed. */
enum class FailureKind : std::uint8_t
{
  Refused,        /**< The upstream's host refused the connection. */
  ConnectTimeout, /**< No answer to the connection attempt. */
  Reset,          /**< The connection ended before a complete response. */
  ServerError,    /**< A complete response with a 5xx status. */
  Stalled,        /**< No byte arrived for the stall timeout. */
  NotStarted,     /**< The upstream reported that it did not start the work. */
};

/** To which request of its connection a response belongs. */
enum class ResponseOwner : std::uint8_t
{
  Request,        /**< The request that waits for a response. */
  EarlierRequest, /**< One that was answered before. */
  None,           /**< No request of the connection. */
};

/** Id of an attempt at an upstream, unique within a process. */
using AttemptId = Quantity<struct AttemptIdTag>;

} // namespace auburnmux::base
