#pragma once

#include "base/Base.h"
#include "objects/src/HostList.h"
#include "objects/src/ObjectList.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace auburnmux::objects {

/** The value of an object and its version. */
struct ObjectFound
{
  base::ObjectVersion mVersion;
  std::string mBytes;
};
struct ObjectNotFound
{};
/** A watch ended without a version above the given one. */
struct ObjectUnchanged
{};
/** The write took effect and gave the object this version. */
struct ObjectStored
{
  base::ObjectVersion mVersion;
};
struct ObjectDeleted
{};
/** The condition of the write didn't hold; nothing changed. */
struct ConditionFailed
{};
/** The call had no effect: it wasn't sent, or the platform refused it. */
struct CallRefused
{
  enum class Reason : std::uint8_t
  {
    /** The purpose's budget is used up. */
    Budget,
    /** The value is larger than the platform holds. */
    TooLarge,
    /** No connection could be made, so nothing was sent. */
    NotConnected,
    /** The platform answered with another 4xx status. */
    Status
  };

  Reason mReason = Reason::Budget;
};
/**
 * No usable answer came in time. A write may have taken effect, or may still
 * do so; its caller reads the state back.
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
