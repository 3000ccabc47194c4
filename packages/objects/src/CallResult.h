#pragma once

#include "base/Base.h"
#include "objects/src/HostList.h"
#include "objects/src/ObjectList.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace auburnmux::objects {

/** The version and value of an object. */
struct ObjectFound
{
  base::ObjectVersion mVersion;
  std::string mBytes;
};
struct ObjectNotFound
{};
/** The watch ended without a version newer than the given one. */
struct ObjectUnchanged
{};
/** The write succeeded; the object now has this version. */
struct ObjectStored
{
  base::ObjectVersion mVersion;
};
struct ObjectDeleted
{};
/** The condition of the write didn't hold, so nothing changed. */
struct ConditionFailed
{};
/** The call had no effect: it wasn't sent, or the platform refused it. */
struct CallRefused
{
  enum class Reason : std::uint8_t
  {
    /** The token bucket of the purpose is empty. */
    Budget,
    /** The value is larger than the platform accepts. */
    TooLarge,
    /** No connection could be established, so nothing was sent. */
    NotConnected,
    /** The platform answered with a 4xx status other than 404 and 412. */
    Status
  };

  Reason mReason = Reason::Budget;
};
/**
 * No valid answer arrived before the timeout. A write may have taken effect or
 * may still do so; the code that called must read the current state.
 */
struct CallUnanswered
{};

using GetResult =
  std::variant<ObjectFound, ObjectNotFound, CallRefused, CallUnanswered>;
using WatchResult = std::variant<ObjectFound, ObjectNotFound, ObjectUnchanged,
                                 CallRefused, CallUnanswered>;
using PutResult =
  std::variant<ObjectStored, ConditionFailed, CallRefused, CallUnanswered>;
using DeleteResult = std::variant<ObjectDeleted, ObjectNotFound,
                                  ConditionFailed, CallRefused, CallUnanswered>;
using ListResult =
  std::variant<std::vector<ListedObject>, CallRefused, CallUnanswered>;
using HostsResult =
  std::variant<std::vector<ListedHost>, CallRefused, CallUnanswered>;

} // namespace auburnmux::objects
