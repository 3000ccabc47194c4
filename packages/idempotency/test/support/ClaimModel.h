#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "idempotency/test/support/FakePlatform.h"
#include "idempotency/test/support/Keys.h"

namespace auburnmux::idempotency::test {

constexpr std::size_t kHosts = 3;

/** One step of a script, after which mMs milliseconds pass. */
struct Step
{
  enum class Kind
  {
    Claim,
    Pause,
    Restart,
    MoveOwner,
    Outage,
    Wait,
  };
  Kind mKind = Kind::Wait;
  std::size_t mHost = 0;
  std::uint64_t mKey = 0;
  std::int64_t mMs = 0;
};

/** Probabilities of faults in percent. */
struct Faults
{
  std::uint64_t mDrop = 5;
  std::uint64_t mRepeat = 5;
  std::uint64_t mSlow = 5;
  std::uint64_t mLostCall = 3;
  std::uint64_t mLostAnswer = 5;
  std::uint64_t mLateEffect = 3;
  std::uint64_t mNotStarted = 10;
  std::uint64_t mUpstreamLost = 15;
};

/** Event counts of a run, to check that a property wasn't satisfied
 * trivially. */
struct ModelCounts
{
  std::size_t mDispatches = 0;
  std::size_t mAnswersRan = 0;
  std::size_t mAnswersNotRun = 0;
  std::size_t mAnswersNotKnown = 0;
  /** Outcomes returned and free keys run after all faults had ended. */
  std::size_t mOutcomesTold = 0;
  std::size_t mFreeKeysRun = 0;
  std::size_t mDeletes = 0;
  std::size_t mConflicts = 0;
  std::size_t mUnknownWrites = 0;
  std::size_t mOwnBatchesFound = 0;

  ModelCounts& operator+=(const ModelCounts& aOther)
  {
    mDispatches += aOther.mDispatches;
    mAnswersRan += aOther.mAnswersRan;
    mAnswersNotRun += aOther.mAnswersNotRun;
    mAnswersNotKnown += aOther.mAnswersNotKnown;
    mOutcomesTold += aOther.mOutcomesTold;
    mFreeKeysRun += aOther.mFreeKeysRun;
    mDeletes += aOther.mDeletes;
    mConflicts += aOther.mConflicts;
    mUnknownWrites += aOther.mUnknownWrites;
    mOwnBatchesFound += aOther.mOwnBatchesFound;
    return *this;
  }
};

/**
 * Simulates three hosts, each with a client and a log of one partition. The
 * network loses, delays and duplicates messages; platform calls and their
 * results may be lost or delayed. Violations of the guarantees are recorded as
 * they happen.
 */
class ClaimModel
{
public:
  explicit ClaimModel(std::uint64_t aSeed, bool aIgnoresConditions = false)
    : mRandom(aSeed)
  {
    mPlatform.mIgnoresConditions = aIgnoresConditions;
    for (std::size_t it = 0; it < kHosts; ++it) {
      mHosts[it].mId = base::HostId("host-" + std::to_string(it));
      Restart(it);
      Tick(it);
    }
  }

  void Run(const std::vector<Step>& aScript)
  {
    for (const Step& it : aScript) {
      Execute(it);
      Advance(it.mMs);
    }
  }

  /** Ends all faults, then checks that claims of each key get the expected
   * answer. */
  void CheckClaimsWithoutFaults()
  {
    mFaults = { 0, 0, 0, 0, 0, 0, 0, 0 };
    mOutageUntil = 0;
    std::int64_t resumed = mMs;
    for (Host& it : mHosts) {
      resumed = std::max(resumed, it.mPausedUntil);
      it.mOwner = 0;
    }
    // Long enough for the slowest message in flight and a resent outcome.
    Advance(resumed - mMs + 4500);
    std::vector<ExpectedAnswer> claims;
    for (const auto& it : mKeys) {
      if (!MayBeExpired(it.second)) {
        ClaimAgain(it.second, claims);
      }
    }
    Advance(1200);
    for (const ExpectedAnswer& it : claims) {
      CheckExpectedAnswer(it);
    }
  }

  const std::vector<std::string>& Violations() const { return mViolations; }

  /** \returns the event counts, including those of the current logs. */
  ModelCounts Counts() const
  {
    ModelCounts counts = mCounts;
    for (const Host& it : mHosts) {
      AddLog(counts, *it.mLog);
    }
    return counts;
  }

private:
  struct Host
  {
    base::HostId mId;
    base::Incarnation mIncarnation;
    std::unique_ptr<ClaimClient> mClient;
    std::unique_ptr<ClaimLog> mLog;
    std::int64_t mPausedUntil = 0;
    std::size_t mOwner = 0;
  };

  struct Attempt
  {
    IdempotencyKey mKey;
    bool mHadOutcome = false;
    bool mIsDispatched = false;
    std::string mAnswer;
  };

  using Event = std::function<void()>;
  using HostEvent = std::function<void(Host&)>;

  bool Chance(std::uint64_t aPercent) { return mRandom.Below(100) < aPercent; }
  std::int64_t Between(std::int64_t aLow, std::int64_t aHigh)
  {
    const auto range = static_cast<std::uint64_t>(aHigh - aLow + 1);
    return aLow + static_cast<std::int64_t>(mRandom.Below(range));
  }
  Now NowAt(std::size_t aHost) const
  {
    return At(mMs, static_cast<std::int64_t>(aHost) * 900 - 900);
  }

  static Retention ShortRetention()
  {
    return { std::chrono::seconds(12), std::chrono::seconds(2),
             std::chrono::seconds(1) };
  }

  void Restart(std::size_t aHost)
  {
    ClaimClientSettings client;
    client.mRetention = ShortRetention();
    client.mMaxResendDelay = std::chrono::seconds(2);
    ClaimLogSettings log;
    log.mRetention = ShortRetention();
    log.mSealAt = base::ByteCount(300);
    log.mCleanupInterval = std::chrono::milliseconds(500);
    Host& host = mHosts[aHost];
    if (host.mLog) {
      AddLog(mCounts, *host.mLog);
    }
    host.mIncarnation = base::Incarnation(static_cast<std::uint64_t>(
      NowAt(aHost).mWall.time_since_epoch().count()));
    host.mClient = std::make_unique<ClaimClient>(host.mIncarnation, client);
    host.mLog = std::make_unique<ClaimLog>(log, mRandom.Next());
    host.mPausedUntil = 0;
  }

  static void AddLog(ModelCounts& aCounts, const ClaimLog& aLog)
  {
    aCounts.mConflicts += aLog.Counts().mConflicts;
    aCounts.mUnknownWrites += aLog.Counts().mUnknownWrites;
    aCounts.mOwnBatchesFound += aLog.Counts().mOwnBatchesFound;
  }

  void Tick(std::size_t aHost)
  {
    AtHost(aHost, 40, [this, aHost](Host& aIt) {
      Perform(aHost, aIt.mLog->OnTick(NowAt(aHost)));
      Perform(aHost, aIt.mClient->OnTick(NowAt(aHost)));
      Tick(aHost);
    });
  }

  void Schedule(std::int64_t aDelay, Event aEvent)
  {
    mEvents.emplace(std::make_pair(mMs + aDelay, mNextEvent++),
                    std::move(aEvent));
  }

  /** Runs an event at a host; if the host is paused, after the pause. */
  void AtHost(std::size_t aHost, std::int64_t aDelay, HostEvent aEvent)
  {
    Schedule(aDelay, [this, aHost, event = std::move(aEvent)] {
      Host& host = mHosts[aHost];
      if (host.mPausedUntil > mMs) {
        AtHost(aHost, host.mPausedUntil - mMs, event);
      } else {
        event(host);
      }
    });
  }

  /** Like AtHost, but a restart of the host cancels the event. */
  void AtIncarnation(std::size_t aHost, std::int64_t aDelay, HostEvent aEvent)
  {
    const auto incarnation = mHosts[aHost].mIncarnation;
    AtHost(aHost, aDelay, [incarnation, event = std::move(aEvent)](Host& aIt) {
      if (aIt.mIncarnation == incarnation) {
        event(aIt);
      }
    });
  }

  void Advance(std::int64_t aMs)
  {
    const std::int64_t until = mMs + aMs;
    while (!mEvents.empty() && mEvents.begin()->first.first <= until) {
      auto node = mEvents.extract(mEvents.begin());
      mMs = node.key().first;
      node.mapped()();
    }
    mMs = until;
  }

  void Execute(const Step& aStep)
  {
    Host& host = mHosts[aStep.mHost];
    switch (aStep.mKind) {
      case Step::Kind::Claim:
        AtHost(aStep.mHost, 0, [this, aStep](Host&) {
          Start(aStep.mHost, KeyNumber(aStep.mKey));
        });
        break;
      case Step::Kind::Pause:
        host.mPausedUntil = mMs + aStep.mMs * 4;
        break;
      case Step::Kind::Restart:
        Restart(aStep.mHost);
        break;
      case Step::Kind::MoveOwner:
        for (Host& it : mHosts) {
          it.mOwner = Chance(60) ? aStep.mHost : it.mOwner;
        }
        break;
      case Step::Kind::Outage:
        mOutageUntil = mMs + aStep.mMs * 3;
        break;
      case Step::Kind::Wait:
        break;
    }
  }

  /** \returns the key of this number. Once the key may be expired, it is
   * replaced by a new one with a probability of 50 percent. */
  IdempotencyKey KeyNumber(std::uint64_t aNumber)
  {
    auto it = mKeys.find(aNumber);
    if (it == mKeys.end() || (MayBeExpired(it->second) && Chance(50))) {
      const auto age = std::chrono::milliseconds(Between(0, 8000));
      const auto key =
        MakeKey(kStartWall + std::chrono::milliseconds(mMs) - age, ++mKeysMade);
      it = mKeys.insert_or_assign(aNumber, key).first;
    }
    return it->second;
  }

  AttemptNumber Start(std::size_t aHost, const IdempotencyKey& aKey)
  {
    auto started =
      mHosts[aHost].mClient->Start(aKey, RequestHash(7), NowAt(aHost));
    const bool hadOutcome = HasRecordedOutcome(aKey) && !MayBeExpired(aKey);
    mAttempts.emplace(std::make_pair(aHost, started.first),
                      Attempt{ aKey, hadOutcome, false, {} });
    Perform(aHost, std::move(started.second));
    return started.first;
  }

  bool HasRecordedOutcome(const IdempotencyKey& aKey) const
  {
    const auto view = mPlatform.Replay().Find(aKey);
    return view && view->mOutcome != nullptr;
  }

  /** \returns whether a claim of \a aKey that starts now may be answered as
   * expired. */
  bool MayBeExpired(const IdempotencyKey& aKey) const
  {
    return aKey.Time() < kStartWall + std::chrono::milliseconds(mMs - 9000);
  }

  void Perform(std::size_t aHost, ClaimLogActions aActions)
  {
    for (auto& action : aActions) {
      std::visit([this, aHost](auto& aIt) { Do(aHost, std::move(aIt)); },
                 action);
    }
  }

  void Perform(std::size_t aHost, ClaimClientActions aActions)
  {
    for (auto& action : aActions) {
      std::visit([this, aHost](auto& aIt) { Do(aHost, std::move(aIt)); },
                 action);
    }
  }

  template<typename Call>
  void CallPlatform(std::size_t aHost, Call aCall)
  {
    constexpr std::int64_t kTimeoutMs = 300;
    const bool isOut = mMs < mOutageUntil;
    const bool isLate = Chance(mFaults.mLateEffect);
    const bool isLost = isOut || Chance(mFaults.mLostCall);
    const bool isAnswerLost = isLate || isLost || Chance(mFaults.mLostAnswer);
    if (isAnswerLost) {
      AtIncarnation(aHost, kTimeoutMs, [this, aHost, aCall](Host& aIt) {
        using Result = decltype(ResultOf(aCall));
        Result result;
        result.mCall = aCall.mCall;
        Perform(aHost, aIt.mLog->OnResult(std::move(result), NowAt(aHost)));
      });
    }
    if (isLost && !isLate) {
      return;
    }
    const auto delay =
      isLate ? Between(200, Chance(20) ? 15000 : 2000) : Between(1, 20);
    Schedule(delay, [this, aHost, aCall, isAnswerLost] {
      auto result = mPlatform.Apply(aCall);
      if (!isAnswerLost) {
        AtIncarnation(aHost, Between(1, 20),
                      [this, aHost, result = std::move(result)](Host& aIt) {
                        Perform(aHost,
                                aIt.mLog->OnResult(result, NowAt(aHost)));
                      });
      }
    });
  }

  static ListResult ResultOf(const ListSegments&) { return {}; }
  static ReadResult ResultOf(const ReadSegment&) { return {}; }
  static WriteResult ResultOf(const WriteSegment&) { return {}; }
  static DeleteResult ResultOf(const DeleteSegment&) { return {}; }

  /** Sends a message, which may be lost, delayed or delivered twice. */
  void Send(std::size_t aTo, const HostEvent& aEvent)
  {
    for (int copies = Chance(mFaults.mRepeat) ? 2 : 1; copies > 0; --copies) {
      if (!Chance(mFaults.mDrop)) {
        const bool isSlow = Chance(mFaults.mSlow);
        AtHost(aTo, isSlow ? Between(300, 4000) : Between(1, 30), aEvent);
      }
    }
  }

  std::size_t IndexOf(const base::HostId& aId) const
  {
    return static_cast<std::size_t>(aId.Text().back() - '0');
  }

  ClaimHolder HolderAt(std::size_t aHost, AttemptNumber aAttempt) const
  {
    return { mHosts[aHost].mId, mHosts[aHost].mIncarnation, aAttempt };
  }

  void Do(std::size_t aHost, ListSegments aIt) { CallPlatform(aHost, aIt); }
  void Do(std::size_t aHost, ReadSegment aIt) { CallPlatform(aHost, aIt); }
  void Do(std::size_t aHost, WriteSegment aIt)
  {
    CallPlatform(aHost, std::move(aIt));
  }
  void Do(std::size_t aHost, DeleteSegment aIt)
  {
    ++mCounts.mDeletes;
    CallPlatform(aHost, aIt);
  }

  void Do(std::size_t /*aHost*/, const SendClaimReply& aIt)
  {
    const auto to = IndexOf(aIt.mTo.mHost);
    Send(to, [this, to, aIt](Host& aTo) {
      Perform(to, aTo.mClient->OnReply(aIt.mTo.mAttempt, aIt.mVerdict,
                                       aIt.mOutcome, NowAt(to)));
    });
  }

  void Do(std::size_t aHost, const SendClaimQuery& aIt)
  {
    const auto to = IndexOf(aIt.mTo.mHost);
    const auto from = mHosts[aHost].mId;
    Send(to, [this, to, from, aIt](Host& aTo) {
      Perform(to, aTo.mClient->OnQuery(from, aIt.mTo, aIt.mKey, NowAt(to)));
    });
  }

  /** Sends a message to the host that \a aHost considers the partition's
   * owner. */
  void SendToOwner(std::size_t aHost,
                   std::function<ClaimLogActions(ClaimLog&, Now)> aEvent)
  {
    const auto to = mHosts[aHost].mOwner;
    Send(to, [this, to, event = std::move(aEvent)](Host& aTo) {
      Perform(to, event(*aTo.mLog, NowAt(to)));
    });
  }

  void Do(std::size_t aHost, SendClaimRequest aIt)
  {
    const ClaimCall call{ HolderAt(aHost, aIt.mAttempt), aIt.mKey,
                          aIt.mRequestHash };
    SendToOwner(aHost, [call](ClaimLog& aLog, const Now& aNow) {
      return aLog.OnClaim(call, aNow);
    });
  }

  void Do(std::size_t aHost, const SendClaimOutcome& aIt)
  {
    const auto holder = HolderAt(aHost, aIt.mAttempt);
    SendToOwner(aHost, [holder, aIt](ClaimLog& aLog, const Now& aNow) {
      return aLog.OnOutcome(aIt.mKey, holder, aIt.mOutcome, aNow);
    });
  }

  void Do(std::size_t aHost, SendClaimRelease aIt)
  {
    const auto holder = HolderAt(aHost, aIt.mAttempt);
    SendToOwner(aHost, [holder, aIt](ClaimLog& aLog, const Now& aNow) {
      return aLog.OnRelease(aIt.mKey, holder, aNow);
    });
  }

  void Do(std::size_t aHost, const SendClaimQueryAnswer& aIt)
  {
    const auto to = IndexOf(aIt.mTo);
    const ClaimQueryAnswer answer{ HolderAt(aHost, aIt.mAttempt), aIt.mKey,
                                   aIt.mState, aIt.mOutcome };
    Send(to, [this, to, answer](Host& aTo) {
      Perform(to, aTo.mLog->OnQueryAnswer(answer, NowAt(to)));
    });
  }

  void Do(std::size_t aHost, Dispatch aIt)
  {
    Attempt& attempt = mAttempts.at({ aHost, aIt.mAttempt });
    Expect(!attempt.mIsDispatched, "attempt dispatched twice", attempt.mKey);
    Expect(attempt.mAnswer.empty(), "dispatch after answer", attempt.mKey);
    Expect(!attempt.mHadOutcome, "dispatch after outcome", attempt.mKey);
    if (Chance(mFaults.mNotStarted)) {
      // The upstream's connection fails before a byte is sent.
      AtIncarnation(aHost, Between(1, 50), [this, aHost, aIt](Host& aHostIt) {
        Perform(aHost, aHostIt.mClient->OnNotStarted(aIt.mAttempt));
      });
      return;
    }
    ++mCounts.mDispatches;
    attempt.mIsDispatched = true;
    Expect(mRuns.emplace(attempt.mKey, HolderAt(aHost, aIt.mAttempt)).second,
           "key dispatched twice", attempt.mKey);
    const bool isLost = Chance(mFaults.mUpstreamLost);
    AtIncarnation(aHost, Between(5, Chance(20) ? 1500 : 100),
                  [this, aHost, aIt, isLost](Host& aHostIt) {
                    if (isLost) {
                      aHostIt.mClient->OnLost(aIt.mAttempt);
                    } else {
                      Perform(aHost, aHostIt.mClient->OnOutcome(
                                       aIt.mAttempt, OutcomeOf(aIt.mAttempt),
                                       NowAt(aHost)));
                    }
                  });
  }

  static Outcome OutcomeOf(AttemptNumber aAttempt)
  {
    return { StatusCode(201), std::to_string(aAttempt.Count()), "text/plain",
             false };
  }

  void Do(std::size_t aHost, AnswerNotRun aIt)
  {
    ++mCounts.mAnswersNotRun;
    Answer(aHost, aIt.mAttempt, "not-run");
  }
  void Do(std::size_t aHost, AnswerNotKnown aIt)
  {
    ++mCounts.mAnswersNotKnown;
    const Attempt& attempt = Answer(aHost, aIt.mAttempt, "not-known");
    Expect(!attempt.mHadOutcome, "recorded outcome not returned", attempt.mKey);
  }
  void Do(std::size_t aHost, const AnswerRan& aIt)
  {
    ++mCounts.mAnswersRan;
    const Attempt& attempt = Answer(aHost, aIt.mAttempt, "ran");
    const auto run = mRuns.find(attempt.mKey);
    Expect(run != mRuns.end() &&
             aIt.mOutcome == OutcomeOf(run->second.mAttempt),
           "wrong outcome", attempt.mKey);
  }

  const Attempt& Answer(std::size_t aHost, AttemptNumber aAttempt,
                        const std::string& aAnswer)
  {
    Attempt& attempt = mAttempts.at({ aHost, aAttempt });
    Expect(!attempt.mIsDispatched, "answer after dispatch", attempt.mKey);
    Expect(attempt.mAnswer.empty(), "answered twice", attempt.mKey);
    attempt.mAnswer = aAnswer;
    return attempt;
  }

  /** A claim made after all faults have ended, and its expected answer. */
  struct ExpectedAnswer
  {
    IdempotencyKey mKey;
    std::size_t mHost;
    AttemptNumber mAttempt;
    bool mHasOutcome;
    bool mIsFree;
  };

  /** Claims the key at each host after all faults have ended. */
  void ClaimAgain(const IdempotencyKey& aKey,
                  std::vector<ExpectedAnswer>& aClaims)
  {
    const auto view = mPlatform.Replay().Find(aKey);
    const bool hasOutcome = view && view->mOutcome != nullptr;
    const bool isHolderLost =
      view && mHosts[IndexOf(view->mHolder.mHost)].mIncarnation !=
                view->mHolder.mIncarnation;
    const bool isFree = mRuns.count(aKey) == 0 && !isHolderLost;
    for (std::size_t host = 0; host < kHosts; ++host) {
      aClaims.push_back({ aKey, host, Start(host, aKey), hasOutcome, isFree });
    }
  }

  void CheckExpectedAnswer(const ExpectedAnswer& aClaim)
  {
    const Attempt& attempt = mAttempts.at({ aClaim.mHost, aClaim.mAttempt });
    Expect(!aClaim.mHasOutcome || attempt.mAnswer == "ran",
           "recorded outcome not returned after the faults", aClaim.mKey);
    Expect(!aClaim.mIsFree || mRuns.count(aClaim.mKey) > 0,
           "free key not run after the faults", aClaim.mKey);
    mCounts.mOutcomesTold += aClaim.mHasOutcome ? 1 : 0;
    mCounts.mFreeKeysRun += aClaim.mIsFree && attempt.mIsDispatched ? 1 : 0;
  }

  void Expect(bool aHolds, const char* aWhat, const IdempotencyKey& aKey)
  {
    if (!aHolds) {
      mViolations.push_back(std::string(aWhat) + " key=" + aKey.Text() +
                            " ms=" + std::to_string(mMs));
    }
  }

  base::Random mRandom;
  Faults mFaults;
  FakePlatform mPlatform;
  std::array<Host, kHosts> mHosts;
  std::map<std::pair<std::int64_t, std::uint64_t>, Event> mEvents;
  std::uint64_t mNextEvent = 0;
  std::int64_t mMs = 0;
  std::int64_t mOutageUntil = 0;
  std::map<std::uint64_t, IdempotencyKey> mKeys;
  std::uint64_t mKeysMade = 0;
  std::map<std::pair<std::size_t, AttemptNumber>, Attempt> mAttempts;
  /** Maps each key to the attempt that ran it. */
  std::map<IdempotencyKey, ClaimHolder> mRuns;
  std::vector<std::string> mViolations;
  ModelCounts mCounts;
};

} // namespace auburnmux::idempotency::test
