#include "config/src/Publication.h"

#include <algorithm>
#include <cassert>

namespace auburnmux::config {

Publication::Publication(std::string aSnapshot, PublishedVersion aVersion)
  : mSnapshot(std::move(aSnapshot))
  , mVersion(std::move(aVersion))
{
  assert(mSnapshot.size() <= kMaxSnapshotBytes.Count());
  mVersion.mTag.mDigest = DigestOf(mSnapshot);
  mNames = PartNames(mVersion.mTag.mDigest,
                     PartsFor(base::ByteCount(mSnapshot.size())));
}

PublicationAction Publication::On(const PublicationEvent& aEvent)
{
  return std::visit([this](const auto& aIt) { return OnEvent(aIt); }, aEvent);
}

PublicationAction Publication::OnEvent(const PointerFound& aEvent)
{
  auto decoded = DecodePointer(aEvent.mBytes);
  if (const auto* error = std::get_if<SnapshotError>(&decoded)) {
    // Replacing a pointer that can't be read could undo a newer publication.
    return GiveUp("config/current can't be read: " + error->mDetail);
  }
  auto& pointer = std::get<CurrentPointer>(decoded);
  if (mStep == Step::Resolving) {
    return Resolve(pointer, aEvent.mVersion);
  }
  return Begin(std::move(pointer), aEvent.mVersion);
}

PublicationAction Publication::OnEvent(const PointerAbsent& /*aEvent*/)
{
  if (mStep != Step::Resolving) {
    return Begin(std::nullopt, base::ObjectVersion{});
  }
  if (mBase) {
    return GiveUp("config/current was deleted meanwhile");
  }
  return WriteAgain();
}

PublicationAction Publication::OnEvent(const WriteDone& /*aEvent*/)
{
  if (mStep == Step::Creating) {
    ++mPart;
    return NextPart();
  }
  return PublicationOutcome{ Published{ mVersion } };
}

PublicationAction Publication::OnEvent(const WriteConflict& /*aEvent*/)
{
  if (mStep == Step::Creating) {
    // The name is the content's digest, so the object is already there.
    ++mPart;
    return NextPart();
  }
  mStep = Step::Resolving;
  return ReadPointer{};
}

PublicationAction Publication::OnEvent(const CallFailed& /*aEvent*/)
{
  return Repeat();
}

PublicationAction Publication::OnEvent(const CallUnknown& /*aEvent*/)
{
  if (mStep == Step::Writing) {
    mMayHaveWritten = true;
    mStep = Step::Resolving;
  }
  return Repeat();
}

PublicationAction Publication::Begin(std::optional<CurrentPointer> aBase,
                                     base::ObjectVersion aVersion)
{
  mBase = std::move(aBase);
  mBaseVersion = aVersion;
  mVersion.mTag.mVersion = base::ConfigVersion{ 1 };
  if (mBase) {
    const VersionTag& tag = mBase->mCurrent.mTag;
    if (tag.mDigest == mVersion.mTag.mDigest) {
      return PublicationOutcome{ AlreadyInForce{ mBase->mCurrent } };
    }
    mVersion.mTag.mVersion = tag.mVersion + base::ConfigVersion{ 1 };
  }
  mStep = Step::Creating;
  return NextPart();
}

PublicationAction Publication::Resolve(const CurrentPointer& aPointer,
                                       base::ObjectVersion aVersion)
{
  if (mBase && aVersion <= mBaseVersion) {
    // The pointer is unchanged, or the read was stale. An earlier write that
    // is still on its way has the same condition as the next one, so at most
    // one of the two takes effect.
    return ++mFailures < kMaxFailures ? Write() : GiveUp("the platform fails");
  }
  const PublishedVersion* entry = aPointer.Find(mVersion.mTag.mVersion);
  if (entry == nullptr) {
    return GiveUp("config/current no longer lists version " +
                  std::to_string(mVersion.mTag.mVersion.Count()));
  }
  if (entry->mPublication != mVersion.mPublication) {
    return PublicationOutcome{ LostRace{ *entry } };
  }
  return PublicationOutcome{ Published{ mVersion,
                                        entry != &aPointer.mCurrent } };
}

PublicationAction Publication::Repeat()
{
  if (++mFailures >= kMaxFailures) {
    return GiveUp("the platform doesn't answer");
  }
  switch (mStep) {
    case Step::Creating:
      return NextPart();
    case Step::Writing:
      return Write();
    case Step::Reading:
    case Step::Resolving:
      break;
  }
  return ReadPointer{};
}

PublicationAction Publication::NextPart()
{
  if (mPart == mNames.size()) {
    return Write();
  }
  const std::size_t size = kMaxPartBytes.Count();
  return CreateObject{ mNames[mPart], mSnapshot.substr(mPart * size, size) };
}

PublicationAction Publication::Write()
{
  mStep = Step::Writing;
  return WritePointer{ EncodePointer(Wanted()), mBaseVersion };
}

PublicationAction Publication::WriteAgain()
{
  return ++mFailures < kMaxFailures ? Write() : GiveUp("the platform fails");
}

PublicationAction Publication::GiveUp(const std::string& aReason) const
{
  if (mMayHaveWritten) {
    return PublicationOutcome{ PublishNotKnown{ aReason } };
  }
  return PublicationOutcome{ PublishFailed{ aReason } };
}

CurrentPointer Publication::Wanted() const
{
  CurrentPointer pointer;
  pointer.mCurrent = mVersion;
  pointer.mParts = PartCount(static_cast<std::uint32_t>(mNames.size()));
  pointer.mBytes = base::ByteCount(mSnapshot.size());
  if (mBase) {
    pointer.mPrevious = mBase->mPrevious;
    pointer.mPrevious.insert(pointer.mPrevious.begin(), mBase->mCurrent);
    if (pointer.mPrevious.size() > kMaxPrevious) {
      pointer.mPrevious.resize(kMaxPrevious);
    }
  }
  return pointer;
}

} // namespace auburnmux::config
