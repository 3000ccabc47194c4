#include "auburnmux/src/SnapshotStore.h"

namespace auburnmux::tool {

namespace {

constexpr std::uint32_t kAttempts = 5;

/** Reads an object, repeating calls without an answer. */
objects::GetResult GetWithRetries(Session& aSession, const std::string& aName)
{
  objects::GetResult result = objects::CallUnanswered{};
  for (std::uint32_t it = 0; it < kAttempts; ++it) {
    if (it > 0) {
      aSession.PauseAfterFailure(it);
    }
    result = aSession.Get(aName, objects::CallPurpose::ConfigRead);
    if (std::holds_alternative<objects::ObjectFound>(result) ||
        std::holds_alternative<objects::ObjectNotFound>(result)) {
      break;
    }
  }
  return result;
}

} // namespace

PointerRead ReadCurrent(Session& aSession)
{
  const objects::GetResult result =
    GetWithRetries(aSession, config::kCurrentObject);
  if (std::holds_alternative<objects::ObjectNotFound>(result)) {
    return NothingPublished{};
  }
  const auto* found = std::get_if<objects::ObjectFound>(&result);
  if (found == nullptr) {
    return ReadError{ "the platform doesn't answer" };
  }
  auto pointer = config::DecodePointer(found->mBytes);
  if (const auto* error = std::get_if<config::SnapshotError>(&pointer)) {
    return ReadError{ "config/current can't be read: " + error->mDetail };
  }
  return std::get<config::CurrentPointer>(std::move(pointer));
}

SnapshotRead ReadSnapshot(Session& aSession,
                          const config::CurrentPointer& aPointer)
{
  const config::Digest& digest = aPointer.mCurrent.mTag.mDigest;
  std::string bytes;
  for (const std::string& it : config::PartNames(digest, aPointer.mParts)) {
    const objects::GetResult result = GetWithRetries(aSession, it);
    const auto* found = std::get_if<objects::ObjectFound>(&result);
    if (found == nullptr) {
      return ReadError{ it + " can't be read" };
    }
    bytes += found->mBytes;
  }
  if (config::DigestOf(bytes) != digest) {
    return ReadError{ "snapshot " + digest.Text() + " is damaged" };
  }
  auto snapshot = config::DecodeSnapshot(bytes);
  if (const auto* error = std::get_if<config::SnapshotError>(&snapshot)) {
    return ReadError{ "snapshot can't be read: " + error->mDetail };
  }
  return std::get<config::Snapshot>(std::move(snapshot));
}

} // namespace auburnmux::tool
