#include "config/src/ConfigState.h"

#include <algorithm>
#include <utility>

namespace auburnmux::config {

namespace {

constexpr std::size_t kMaxRejected = 16;

} // namespace

OfferResult ConfigState::Offer(const SnapshotOffer& aOffer,
                               base::TimePoint aNow)
{
  const VersionTag& tag = aOffer.mTag;
  const bool isFromPlatform =
    std::holds_alternative<FromPlatform>(aOffer.mSource);
  if (tag.mVersion < mTag.mVersion || tag.mVersion.Count() == 0) {
    return OfferStale{ mTag.mVersion };
  }
  if (tag.mVersion == mTag.mVersion) {
    if (tag.mDigest != mTag.mDigest) {
      return Reject({ OfferRejected::Reason::VersionConflict, tag,
                      "in force: " + mTag.mDigest.Text() });
    }
    if (isFromPlatform) {
      NotePlatformVersion(tag, aNow);
    }
    return OfferStale{ mTag.mVersion };
  }
  if (DigestOf(aOffer.mBytes) != tag.mDigest) {
    return Reject({ OfferRejected::Reason::WrongDigest, tag,
                    std::to_string(aOffer.mBytes.size()) + " bytes" });
  }
  auto decoded = DecodeSnapshot(aOffer.mBytes);
  if (auto* error = std::get_if<SnapshotError>(&decoded)) {
    return Reject(
      { OfferRejected::Reason::Unusable, tag, std::move(error->mDetail) });
  }
  mSnapshot = std::move(std::get<Snapshot>(decoded));
  mTag = tag;
  mBytes = aOffer.mBytes;
  mPublishedAt = aOffer.mPublishedAt;
  mAcceptedAt = aNow;
  mIsConfirmed = false;
  if (isFromPlatform) {
    NotePlatformVersion(tag, aNow);
  }
  return OfferAccepted{ tag.mVersion };
}

bool ConfigState::NotePlatformVersion(const VersionTag& aTag,
                                      base::TimePoint aNow)
{
  if (mTag.mVersion.Count() != 0 && aTag == mTag) {
    mIsConfirmed = true;
    mConfirmedAt = aNow;
  }
  return Wants(aTag);
}

bool ConfigState::Wants(const VersionTag& aTag) const
{
  if (aTag.mVersion <= mTag.mVersion) {
    return false;
  }
  // Bytes with a wrong digest may come whole from another sender; content
  // that matches its digest and is unusable stays unusable.
  return std::none_of(
    mRejected.begin(), mRejected.end(), [&aTag](const OfferRejected& aOther) {
      return aOther.mReason == OfferRejected::Reason::Unusable &&
             aOther.mTag.mDigest == aTag.mDigest;
    });
}

const Snapshot* ConfigState::InForce() const
{
  return mSnapshot ? &*mSnapshot : nullptr;
}

base::Duration ConfigState::Age(base::TimePoint aNow) const
{
  return aNow - mAcceptedAt;
}

std::optional<base::Duration> ConfigState::SinceConfirmed(
  base::TimePoint aNow) const
{
  if (!mIsConfirmed) {
    return std::nullopt;
  }
  return aNow - mConfirmedAt;
}

OfferResult ConfigState::Reject(OfferRejected aRejection)
{
  mRejected.push_back(aRejection);
  if (mRejected.size() > kMaxRejected) {
    mRejected.pop_front();
  }
  return aRejection;
}

} // namespace auburnmux::config
