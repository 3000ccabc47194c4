#pragma once

#include "auburnmux/src/Session.h"
#include "config/Config.h"

#include <string>
#include <variant>

namespace auburnmux::tool {

/** Nothing has been published yet. */
struct NothingPublished
{};
/** Why the platform's configuration can't be read. */
struct ReadError
{
  std::string mReason;
};

using PointerRead =
  std::variant<config::CurrentPointer, NothingPublished, ReadError>;
using SnapshotRead = std::variant<config::Snapshot, ReadError>;

/** Reads `config/current`, repeating calls that fail. */
PointerRead ReadCurrent(Session& aSession);

/** Reads and joins the parts of the snapshot that a pointer names. */
SnapshotRead ReadSnapshot(Session& aSession,
                          const config::CurrentPointer& aPointer);

} // namespace auburnmux::tool
