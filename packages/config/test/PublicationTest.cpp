#include "config/Config.h"

#include "base/test/support/Property.h"
#include "config/test/support/FakePlatform.h"
#include "config/test/support/Samples.h"

using namespace auburnmux;
using namespace auburnmux::config;
using test::FakePlatform;
using Fault = FakePlatform::Fault;

namespace {

/** One publisher that runs its publication a call at a time. */
struct Publisher
{
  Publisher(unsigned aNumber, std::string aBytes)
    : mId("run-" + std::to_string(aNumber))
    , mPublication(std::move(aBytes), { {}, mId, base::WallTime{}, "operator" })
  {
  }

  void Step(FakePlatform& aPlatform, Fault aFault)
  {
    if (!IsFinished()) {
      mAction = mPublication.On(aPlatform.Run(mAction, aFault));
    }
  }
  bool IsFinished() const
  {
    return std::holds_alternative<PublicationOutcome>(mAction);
  }
  template<typename Outcome>
  const Outcome* Is() const
  {
    const auto* outcome = std::get_if<PublicationOutcome>(&mAction);
    return outcome == nullptr ? nullptr : std::get_if<Outcome>(outcome);
  }
  void Finish(FakePlatform& aPlatform)
  {
    while (!IsFinished()) {
      Step(aPlatform, Fault::None);
    }
  }

  PublicationId mId;
  Publication mPublication;
  PublicationAction mAction = ReadPointer{};
};

/** \returns how often the run's id was put in force. */
std::size_t TimesInForce(const FakePlatform& aPlatform,
                         const PublicationId& aId)
{
  std::size_t n = 0;
  for (const std::string& it : aPlatform.Pointers()) {
    n +=
      std::get<CurrentPointer>(DecodePointer(it)).mCurrent.mPublication == aId
        ? 1
        : 0;
  }
  return n;
}

/** Checks that versions are 1, 2, 3 ... and each is whole. */
void AssertHistory(const FakePlatform& aPlatform)
{
  std::uint64_t expected = 0;
  for (const std::string& it : aPlatform.Pointers()) {
    const auto pointer = std::get<CurrentPointer>(DecodePointer(it));
    RC_ASSERT(pointer.mCurrent.mTag.mVersion.Count() == ++expected);
    const std::string bytes = aPlatform.Join(pointer);
    RC_ASSERT(DigestOf(bytes) == pointer.mCurrent.mTag.mDigest);
    RC_ASSERT(pointer.mBytes.Count() == bytes.size());
  }
}

/** Checks that what the run reported is what happened. */
void AssertOutcome(const FakePlatform& aPlatform, const Publisher& aPublisher)
{
  const std::size_t n = TimesInForce(aPlatform, aPublisher.mId);
  if (aPublisher.Is<Published>() != nullptr) {
    RC_ASSERT(n == 1U);
  } else if (aPublisher.Is<PublishNotKnown>() != nullptr) {
    RC_ASSERT(n <= 1U);
  } else {
    RC_ASSERT(n == 0U);
  }
}

void RunRace()
{
  FakePlatform platform;
  std::vector<Publisher> publishers;
  const unsigned n = *rc::gen::inRange(2U, 5U);
  for (unsigned it = 0; it < n; ++it) {
    publishers.emplace_back(it, "content " + std::to_string(it));
  }
  const int steps = *rc::gen::inRange(0, 80);
  for (int it = 0; it < steps; ++it) {
    publishers[*rc::gen::inRange(0U, n)].Step(
      platform, *rc::gen::weightedElement<Fault>({ { 6, Fault::None },
                                                   { 1, Fault::Outage },
                                                   { 1, Fault::AnswerLost },
                                                   { 1, Fault::RequestLost },
                                                   { 1, Fault::Stale },
                                                   { 1, Fault::Delayed } }));
    if (*rc::gen::inRange(0, 8) == 0) {
      platform.Deliver();
    }
  }
  for (Publisher& it : publishers) {
    it.Finish(platform);
  }
  platform.Deliver();
  AssertHistory(platform);
  for (const Publisher& it : publishers) {
    AssertOutcome(platform, it);
  }
}

} // namespace

TEST_GROUP(Publication){};

// Guards against two publishers under one version, a version without its
// snapshot, and a reported outcome that isn't what happened.
TEST(Publication, ExactlyOneWinsEachVersion)
{
  CHECK_PROPERTY("any race with faults", RunRace);
}

// Guards against a second write after the answer to the first was lost.
TEST(Publication, LostAnswerIsResolvedByReadingBack)
{
  FakePlatform platform;
  Publisher publisher(1, "content");
  publisher.Step(platform, Fault::None);
  publisher.Step(platform, Fault::None);
  publisher.Step(platform, Fault::AnswerLost);
  publisher.Finish(platform);
  CHECK_TRUE(publisher.Is<Published>() != nullptr);
  LONGS_EQUAL(1, platform.Pointers().size());
}

// Guards against a loser that isn't told who won.
TEST(Publication, LoserLearnsTheWinner)
{
  FakePlatform platform;
  Publisher first(1, "one");
  Publisher second(2, "two");
  second.Step(platform, Fault::None);
  first.Finish(platform);
  second.Finish(platform);
  CHECK_TRUE(second.Is<LostRace>() != nullptr);
  CHECK_TRUE(second.Is<LostRace>()->mWinner.mPublication == first.mId);
}

// Guards against a retried publish that makes a version without a change.
TEST(Publication, SameContentIsNotPublishedAgain)
{
  FakePlatform platform;
  Publisher first(1, "one");
  first.Finish(platform);
  Publisher second(2, "one");
  second.Finish(platform);
  CHECK_TRUE(second.Is<AlreadyInForce>() != nullptr);
  LONGS_EQUAL(1, platform.Pointers().size());
}

// Guards against "failed" being reported while a write is still on its way.
TEST(Publication, UnansweredWriteIsNotKnown)
{
  FakePlatform platform;
  Publisher publisher(1, "content");
  publisher.Step(platform, Fault::None);
  publisher.Step(platform, Fault::None);
  publisher.Step(platform, Fault::Delayed);
  while (!publisher.IsFinished()) {
    publisher.Step(platform, Fault::Outage);
  }
  CHECK_TRUE(publisher.Is<PublishNotKnown>() != nullptr);
}

// Guards against values over the platform's limit of 1 MB.
TEST(Publication, LargeSnapshotsAreSplit)
{
  FakePlatform platform;
  Publisher publisher(1, std::string(1'900'000, 'x'));
  publisher.Finish(platform);
  const auto pointer =
    std::get<CurrentPointer>(DecodePointer(platform.Pointers().at(0)));
  LONGS_EQUAL(3, pointer.mParts.Count());
  LONGS_EQUAL(1'900'000, platform.Join(pointer).size());
}

// Guards against overwriting a pointer of a newer version of the tool.
TEST(Publication, NeverReplacesAPointerItCannotRead)
{
  Publication publication("content", { {}, PublicationId("run"), {}, "op" });
  for (const char* it : { "{\"format\":2}", "", "{}", "[1]", "\xff" }) {
    Publication copy = publication;
    const PublicationAction action =
      copy.On(PointerFound{ base::ObjectVersion{ 4 }, it });
    const auto& outcome = std::get<PublicationOutcome>(action);
    CHECK_TRUE(std::holds_alternative<PublishFailed>(outcome));
  }
}

TEST_GROUP(SnapshotDiff){};

TEST(SnapshotDiff, NamesWhatWasAddedRemovedAndChanged)
{
  ParseReport report;
  const Snapshot before =
    test::ReadBoth(test::kTopology, test::kService, report);
  std::string text = test::Replaced(test::kService, "0.25", "0.3");
  text = test::Replaced(text, "sc-2", "sc-3");
  text =
    test::Replaced(text, "\"owner\"", "\"leaving\": [\"sc-1\"], \"owner\"");
  const Snapshot after = test::ReadBoth(
    test::Replaced(test::kTopology, "4000", "2000"), text, report);
  std::string all;
  for (const SnapshotChange& it : DiffSnapshots(before, after)) {
    all += ChangeText(it) + '\n';
  }
  STRCMP_EQUAL("~ cap of subsidy-core: max_share 0.25 -> 0.3\n"
               "+ leaving mark on upstream sc-1 of subsidy-core\n"
               "~ link addis - hawassa: mbit_per_s 4000 -> 2000\n"
               "- upstream sc-2 of subsidy-core\n"
               "+ upstream sc-3 of subsidy-core\n",
               all.c_str());
  LONGS_EQUAL(0, DiffSnapshots(before, before).size());
}
