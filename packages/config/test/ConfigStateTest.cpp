#include "config/Config.h"

#include "base/test/support/Property.h"
#include "config/test/support/Samples.h"

#include <set>

using namespace auburnmux;
using namespace auburnmux::config;
using test::Replaced;

namespace {

SnapshotOffer OfferOf(unsigned aVersion, const std::string& aBytes,
                      OfferSource aSource = FromPlatform{})
{
  return { { base::ConfigVersion(aVersion), DigestOf(aBytes) },
           aBytes,
           std::move(aSource) };
}

const OfferRejected* RejectionOf(const OfferResult& aResult)
{
  return std::get_if<OfferRejected>(&aResult);
}

/** An offer that may be stale, doubled, damaged or under a false digest. */
SnapshotOffer AnyOffer()
{
  const unsigned version = *rc::gen::inRange(0U, 8U);
  SnapshotOffer offer = OfferOf(version, test::SampleBytes(version));
  if (*rc::gen::arbitrary<bool>()) {
    offer.mSource = FromPeer{ base::HostId("addis-2-a") };
  }
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      offer.mBytes.resize(offer.mBytes.size() / 2);
      break;
    case 1:
      offer.mBytes[*rc::gen::inRange<std::size_t>(0, 60)] ^= 1;
      offer.mTag.mDigest = DigestOf(offer.mBytes);
      break;
    case 2:
      offer.mTag.mDigest = Digest("00");
      break;
    default:
      break;
  }
  return offer;
}

} // namespace

TEST_GROUP(ConfigState)
{
  ConfigState mState;
  base::TimePoint mNow{ std::chrono::seconds(100) };
};

// Guards against a host that goes back to an older configuration, or serves
// bytes that don't belong to the version it reports (guarantee 8).
TEST(ConfigState, VersionNeverDecreasesOverAnyHistory)
{
  CHECK_PROPERTY("versions are monotonic", []() {
    ConfigState state;
    base::TimePoint now;
    const int n = *rc::gen::inRange(1, 30);
    for (int it = 0; it < n; ++it) {
      const VersionTag before = state.Tag();
      const SnapshotOffer offer = AnyOffer();
      const OfferResult result = state.Offer(offer, now);
      RC_ASSERT(state.Tag().mVersion >= before.mVersion);
      const bool isAccepted = std::holds_alternative<OfferAccepted>(result);
      RC_ASSERT(isAccepted == (state.Tag().mVersion > before.mVersion));
      RC_ASSERT(isAccepted || state.Tag() == before);
      RC_ASSERT(state.InForce() == nullptr ||
                DigestOf(state.Bytes()) == state.Tag().mDigest);
      RC_ASSERT(state.Rejected().size() <= 16U);
      now += std::chrono::seconds(1);
    }
  });
}

// Guards against a good snapshot being lost when a bad one is offered.
TEST(ConfigState, KeepsTheLastGoodSnapshotAndReportsTheRejected)
{
  mState.Offer(OfferOf(3, test::SampleBytes(3)), mNow);
  const SnapshotOffer unknown =
    OfferOf(4, Replaced(test::SampleBytes(4), "\"format\":1", "\"format\":2"));
  const OfferResult result = mState.Offer(unknown, mNow);
  CHECK_TRUE(RejectionOf(result) != nullptr);
  LONGS_EQUAL(3, mState.Tag().mVersion.Count());
  CHECK_TRUE(mState.InForce() != nullptr);
  LONGS_EQUAL(1, mState.Rejected().size());
  CHECK_FALSE(mState.Wants(unknown.mTag));
  CHECK_TRUE(mState.Wants({ base::ConfigVersion(5), Digest("ab") }));
}

// Guards against fetching in vain for ever after one damaged transfer.
TEST(ConfigState, DamagedTransferIsWantedAgain)
{
  SnapshotOffer offer = OfferOf(2, test::SampleBytes(2));
  const std::string whole = offer.mBytes;
  offer.mBytes.pop_back();
  const OfferResult result = mState.Offer(offer, mNow);
  CHECK_TRUE(RejectionOf(result)->mReason ==
             OfferRejected::Reason::WrongDigest);
  CHECK_TRUE(mState.Wants(offer.mTag));
  offer.mBytes = whole;
  mState.Offer(offer, mNow);
  LONGS_EQUAL(2, mState.Tag().mVersion.Count());
}

// Guards against two contents under one version going unnoticed.
TEST(ConfigState, OtherDigestUnderTheSameVersionIsAConflict)
{
  mState.Offer(OfferOf(2, test::SampleBytes(2)), mNow);
  const OfferResult result =
    mState.Offer(OfferOf(2, test::SampleBytes(9)), mNow);
  CHECK_TRUE(RejectionOf(result)->mReason ==
             OfferRejected::Reason::VersionConflict);
}

// Guards against a peer's word being taken for the platform's.
TEST(ConfigState, OnlyThePlatformConfirms)
{
  const SnapshotOffer offer =
    OfferOf(2, test::SampleBytes(2), FromPeer{ base::HostId("addis-2-a") });
  mState.Offer(offer, mNow);
  mState.Offer(offer, mNow);
  CHECK_FALSE(mState.IsConfirmed());
  CHECK_FALSE(mState.SinceConfirmed(mNow).has_value());
  mNow += std::chrono::seconds(5);
  CHECK_FALSE(mState.NotePlatformVersion(offer.mTag, mNow));
  CHECK_TRUE(mState.IsConfirmed());
  mNow += std::chrono::seconds(2);
  CHECK_TRUE(mState.Age(mNow) == std::chrono::seconds(7));
  CHECK_TRUE(*mState.SinceConfirmed(mNow) == std::chrono::seconds(2));
}
