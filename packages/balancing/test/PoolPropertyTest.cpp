#include "balancing/Balancing.h"

#include "base/test/support/Property.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace auburnmux;
using namespace auburnmux::balancing;
using base::AttemptId;
using base::TimePoint;
using base::UpstreamId;
using base::WorkClass;

namespace {

constexpr std::uint32_t kUpstreams = 9;

UpstreamId Name(std::uint32_t aIndex)
{
  return UpstreamId("u" + std::to_string(aIndex));
}

/** Sends random events to a pool and checks each pick and ejection. */
class Driver
{
public:
  explicit Driver(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    Configure();
  }

  void Step()
  {
    mNow += std::chrono::milliseconds(mRandom.Below(200));
    const std::uint64_t action = mRandom.Below(100);
    if (action < 50) {
      PickAndStart();
    } else if (action < 85) {
      EndRandomAttempt();
    } else if (action < 90) {
      mPool.OnLoadReport(mNow, RandomUpstream(),
                         std::chrono::seconds(mRandom.Below(9)),
                         mRandom.Fraction() * 3 - 1);
    } else if (action < 93) {
      const UpstreamId id = RandomUpstream();
      mPool.OnLeavingSignal(mNow, id);
      // The signal has no effect if the upstream isn't configured.
      if (Status().count(id) != 0) {
        mAnnouncedLeaving.insert(id);
      }
    } else if (action < 95) {
      SetQueueLength(static_cast<std::uint32_t>(mRandom.Below(20)));
    } else if (action < 97) {
      Configure();
    } else {
      mPool.SetLimit(RandomUpstream(), base::SlotCount(1 + mRandom.Below(4)));
    }
    CheckEjectionLimit();
  }

private:
  struct Sent
  {
    UpstreamId mUpstream;
    TimePoint mTime;
  };

  UpstreamId RandomUpstream() { return Name(mRandom.Below(kUpstreams)); }

  void SetQueueLength(std::uint32_t aCount)
  {
    mQueueLength = aCount;
    mPool.OnQueueLength(mNow, aCount);
  }

  void Configure()
  {
    std::vector<UpstreamSpec> specs;
    mConfiguredLeaving.clear();
    for (std::uint32_t i = 0; i < kUpstreams; ++i) {
      if (mRandom.Below(10) == 0) {
        // A removed upstream that is added again starts with a new state.
        mAnnouncedLeaving.erase(Name(i));
        continue;
      }
      const bool leaving = mRandom.Below(8) == 0;
      const base::SlotCount share(1 + mRandom.Below(4));
      specs.push_back({ Name(i), share, base::ConnectionCount(5), leaving });
      if (leaving) {
        mConfiguredLeaving.insert(Name(i));
      }
    }
    mPool.Configure(mNow, specs);
  }

  std::map<UpstreamId, UpstreamStatus> Status()
  {
    std::map<UpstreamId, UpstreamStatus> status;
    for (const UpstreamStatus& it : mPool.Status(mNow)) {
      status[it.mId] = it;
    }
    return status;
  }

  void PickAndStart()
  {
    PickRequest request;
    request.mClass = mRandom.Below(2) == 0 ? WorkClass::Short : WorkClass::Long;
    request.mKind = mRandom.Below(2) == 0 ? base::WorkKind::Idempotent
                                          : base::WorkKind::NonIdempotent;
    for (std::uint64_t i = mRandom.Below(3); i > 0; --i) {
      request.mExclude.push_back(RandomUpstream());
    }
    const PickResult result = mPool.Pick(mNow, mRandom, request);
    if (const auto* choice = std::get_if<Choice>(&result)) {
      CheckChoice(request, *choice);
      const AttemptId attempt(++mNextId);
      mPool.OnStart(mNow, attempt, choice->mUpstream, request.mClass);
      mSent[attempt] = { choice->mUpstream, mNow };
    }
  }

  void CheckChoice(const PickRequest& aRequest, const Choice& aChoice)
  {
    const auto status = Status();
    RC_ASSERT(status.count(aChoice.mUpstream) == 1U);
    const UpstreamStatus& it = status.at(aChoice.mUpstream);
    RC_ASSERT(it.mInFlight < it.mUsableSlots);
    RC_ASSERT(!it.mLeaving);
    RC_ASSERT(mAnnouncedLeaving.count(it.mId) == 0U);
    RC_ASSERT(mConfiguredLeaving.count(it.mId) == 0U);
    const auto& exclude = aRequest.mExclude;
    RC_ASSERT(std::count(exclude.begin(), exclude.end(), it.mId) == 0);
    RC_ASSERT(it.mEjected == aChoice.mProbe);
    if (aChoice.mProbe) {
      RC_ASSERT(aRequest.mKind == base::WorkKind::Idempotent);
      RC_ASSERT(it.mInFlight.Count() == 0U);
    }
  }

  void EndRandomAttempt()
  {
    if (mSent.empty()) {
      return;
    }
    auto sent = mSent.begin();
    std::advance(sent, mRandom.Below(mSent.size()));
    // The last three upstreams fail or are slow most of the time.
    const bool bad = !(sent->second.mUpstream < Name(kUpstreams - 3));
    const AttemptId id = sent->first;
    const auto before = Status();
    const std::uint64_t outcome = mRandom.Below(bad ? 10 : 40);
    if (outcome < 6) {
      mPool.OnFailure(mNow, mRandom, id,
                      static_cast<base::FailureKind>(outcome));
    } else if (outcome == 6) {
      mPool.OnCancel(mNow, mRandom, id);
    } else {
      mPool.OnSuccess(mNow, mRandom, id,
                      std::chrono::milliseconds(bad ? 500 : 10));
    }
    mSent.erase(sent);
    CheckNewEjections(before);
  }

  void CheckNewEjections(const std::map<UpstreamId, UpstreamStatus>& aBefore)
  {
    for (const auto& [id, it] : Status()) {
      if (!it.mEjected || aBefore.at(id).mEjected) {
        continue;
      }
      std::uint32_t need = mQueueLength;
      std::uint32_t slots = 0;
      for (const auto& [other, its] : Status()) {
        if (!its.mEjected && !its.mLeaving) {
          need += its.mInFlight.Count();
          slots += its.mUsableSlots.Count();
        }
      }
      RC_ASSERT(need <= slots);
    }
  }

  void CheckEjectionLimit()
  {
    std::uint32_t staying = 0;
    std::uint32_t ejected = 0;
    for (const auto& [id, it] : Status()) {
      staying += it.mLeaving ? 0 : 1;
      ejected += it.mEjected && !it.mLeaving ? 1 : 0;
    }
    RC_ASSERT(3 * ejected <= staying);
  }

  base::Random mRandom;
  TimePoint mNow{ std::chrono::hours(1) };
  UpstreamPool mPool;
  std::map<AttemptId, Sent> mSent;
  std::set<UpstreamId> mAnnouncedLeaving;
  std::set<UpstreamId> mConfiguredLeaving;
  std::uint32_t mQueueLength = 0;
  std::uint64_t mNextId = 0;
};

} // namespace

TEST_GROUP(PoolProperties){};

// For any sequence of events and configuration updates: a pick never exceeds
// the share or takes a leaving, excluded or ejected upstream (besides probes),
// at most a third is ejected, and the others have enough slots for the load.
TEST(PoolProperties, EveryPickRespectsTheBounds)
{
  CHECK_PROPERTY("bounds hold over any history", [](std::uint64_t aSeed) {
    Driver driver(aSeed);
    for (int i = 0; i < 400; ++i) {
      driver.Step();
    }
  });
}
