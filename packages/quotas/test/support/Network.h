#pragma once

#include "quotas/Quotas.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace auburnmux::quotas::test {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct NetworkOptions
{
  std::size_t mCentres = 6;
  std::size_t mHosts = 34;
  double mLoss = 0;
  /** Part of the messages that arrive up to 4 s late. */
  double mLate = 0;
  /** Use the tokens of which it is possible at the same moments, instead of
   * each at once. */
  bool mIsUseDelayed = false;
};

/** Hosts in virtual time that run QuotaControl. The first third of the data
 * centres is one region, and so on. */
class Network
{
public:
  struct Run
  {
    TimePoint mTime;
    std::size_t mHost;
  };

  Network(NetworkOptions aOptions, std::uint64_t aSeed)
    : mOptions(aOptions)
    , mRandom(aSeed)
  {
    for (std::size_t i = 0; i < aOptions.mCentres; ++i) {
      mCentres.insert(Centre(i));
    }
    for (std::size_t i = 0; i < aOptions.mHosts; ++i) {
      Join(i % aOptions.mCentres);
    }
    At(mNow, [this] { Observe(); });
  }

  TimePoint Now() const { return mNow; }
  std::size_t Size() const { return mHosts.size(); }
  std::size_t CentreOf(std::size_t aHost) const
  {
    return mHosts[aHost].mCentre;
  }
  void At(TimePoint aTime, std::function<void()> aTask)
  {
    mEvents.emplace(aTime, std::move(aTask));
  }
  void RunFor(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (!mEvents.empty() && mEvents.begin()->first <= end) {
      mNow = std::max(mNow, mEvents.begin()->first);
      const auto task = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      task();
    }
    mNow = end;
  }

  void Join(std::size_t aCentre)
  {
    mHosts.emplace_back().mCentre = aCentre;
    Start(mHosts.size() - 1);
  }
  void Kill(std::size_t aHost) { mHosts[aHost].mControl.reset(); }
  /** Starts another process at the address of the host. */
  void Start(std::size_t aHost)
  {
    Host& host = mHosts[aHost];
    ++host.mStarts;
    host.mIdentity = {};
    host.mIdentity.mId = base::HostId("h" + std::to_string(aHost) + '/' +
                                      std::to_string(host.mStarts));
    host.mIdentity.mDataCentre = Centre(host.mCentre);
    host.mIdentity.mAddress = "h" + std::to_string(aHost);
    host.mView.clear();
    host.mActive = {};
    host.mIsLeaving = false;
    host.mDescribedAt = {};
    host.mDetection = milliseconds(1600 + mRandom.Below(1600));
    host.mControl = std::make_unique<QuotaControl>(
      host.mIdentity.mId, QuotaSettings{}, mNow, mRandom.Next());
    mIndex[host.mIdentity.mId] = aHost;
    host.mFrozenUntil = mNow;
    Do(aHost,
       [this](QuotaControl& aIt) { return aIt.SetQuotas(mNow, mQuotas); });
  }
  void Freeze(std::size_t aHost, Duration aTime)
  {
    mHosts[aHost].mFrozenUntil = mNow + aTime;
  }
  void Leave(std::size_t aHost) { mHosts[aHost].mIsLeaving = true; }
  /** Cuts the data centres of \a aSide off from the others. */
  void Cut(std::set<std::size_t> aSide) { mSide = std::move(aSide); }
  void Heal() { mSide.clear(); }
  /** Sets the quotas, which reach each host within \a aSpread. */
  void SetQuotas(const QuotaTable& aQuotas, Duration aSpread)
  {
    mQuotas = aQuotas;
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      const Duration delay = aSpread * mRandom.Below(1000) / 1000;
      At(mNow + delay, [this, i, aQuotas] {
        Do(i, [this, aQuotas](QuotaControl& aIt) {
          return aIt.SetQuotas(mNow, aQuotas);
        });
      });
    }
  }

  void Arrive(std::size_t aHost, CustomerHash aCustomer)
  {
    Host& host = mHosts[aHost];
    if (!host.mControl || mNow < host.mFrozenUntil) {
      return;
    }
    Actions actions;
    const Decision decision = host.mControl->Take(mNow, aCustomer, actions);
    if (const auto* taken = std::get_if<Taken>(&decision)) {
      Use(aHost, taken->mToken);
    }
    Execute(aHost, actions);
  }
  /** Lets requests arrive at random, \a aRate a second, until \a aEnd. */
  void Demand(CustomerHash aCustomer, double aRate,
              const std::vector<std::size_t>& aHosts, TimePoint aEnd)
  {
    const double wait = -std::log(1 - mRandom.Fraction()) / aRate;
    const TimePoint next = mNow + std::chrono::duration_cast<Duration>(
                                    std::chrono::duration<double>(wait));
    if (next >= aEnd) {
      return;
    }
    At(next, [=] {
      const std::size_t host = aHosts[mRandom.Below(aHosts.size())];
      mArrivals[aCustomer].push_back(mNow);
      Arrive(host, aCustomer);
      Demand(aCustomer, aRate, aHosts, aEnd);
    });
  }

  /** \returns the number of requests that ran from \a aFrom on, up to \a aTo.
   */
  std::size_t Ran(CustomerHash aCustomer, TimePoint aFrom, TimePoint aTo,
                  std::optional<std::size_t> aCentre = std::nullopt)
  {
    std::size_t n = 0;
    for (const Run& it : mRuns[aCustomer]) {
      const bool isThere = !aCentre || CentreOf(it.mHost) == *aCentre;
      n += isThere && it.mTime >= aFrom && it.mTime < aTo ? 1 : 0;
    }
    return n;
  }
  /** \returns the host that most hosts use as their root. */
  std::size_t Root() { return MostVoted(Level::Root, std::nullopt); }
  std::size_t Aggregator(std::size_t aCentre)
  {
    return MostVoted(Level::Aggregator, aCentre);
  }

  std::map<CustomerHash, std::vector<Run>> mRuns;
  std::map<CustomerHash, std::vector<TimePoint>> mArrivals;
  /** Messages that each host sent. */
  std::map<std::size_t, std::uint64_t> mSent;
  std::uint64_t mSentBetweenCentres = 0;

private:
  struct Host
  {
    std::size_t mCentre = 0;
    std::uint64_t mStarts = 0;
    std::unique_ptr<QuotaControl> mControl;
    membership::HostIdentity mIdentity;
    TimePoint mFrozenUntil;
    TimePoint mWake = TimePoint::max();
    bool mIsLeaving = false;
    /** Silence after which the host takes others for dead. */
    Duration mDetection{};
    TimePoint mDescribedAt;
    std::map<base::HostId, std::pair<membership::HostView, TimePoint>> mView;
    membership::ActiveHostCounter mActive;
    std::map<Level, base::HostId> mTargets;
  };

  static base::DataCentreId Centre(std::size_t aIndex)
  {
    return base::DataCentreId("dc" + std::to_string(aIndex));
  }
  bool IsCut(std::size_t aLeft, std::size_t aRight) const
  {
    return mSide.count(mHosts[aLeft].mCentre) !=
           mSide.count(mHosts[aRight].mCentre);
  }
  std::size_t MostVoted(Level aLevel, std::optional<std::size_t> aCentre)
  {
    std::map<std::size_t, int> votes;
    for (const Host& it : mHosts) {
      const auto target = it.mTargets.find(aLevel);
      if (it.mControl && target != it.mTargets.end() &&
          (!aCentre || it.mCentre == *aCentre)) {
        ++votes[mIndex[target->second]];
      }
    }
    const auto most = std::max_element(
      votes.begin(), votes.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      });
    return most == votes.end() ? 0 : most->first;
  }

  /** Updates all views, as membership would. */
  void Observe()
  {
    using membership::HostState;
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      Host& host = mHosts[i];
      if (!host.mControl || mNow < host.mFrozenUntil) {
        continue;
      }
      bool hasChanged = mNow - host.mDescribedAt >= seconds(1);
      const auto setState = [&](membership::HostView& aHost, HostState aState) {
        hasChanged |= std::exchange(aHost.mState, aState) != aState;
      };
      for (std::size_t j = 0; j < mHosts.size(); ++j) {
        const Host& other = mHosts[j];
        if (other.mControl && mNow >= other.mFrozenUntil && !IsCut(i, j)) {
          const auto [it, isNew] = host.mView.try_emplace(
            other.mIdentity.mId,
            std::pair(membership::HostView{ other.mIdentity }, mNow));
          hasChanged |= isNew;
          it->second.second = mNow;
          setState(it->second.first,
                   other.mIsLeaving ? HostState::Leaving : HostState::Alive);
        }
      }
      for (auto& [id, entry] : host.mView) {
        const bool isSilent = mNow - entry.second >= host.mDetection;
        if (isSilent && entry.first.mState == HostState::Alive) {
          setState(entry.first, HostState::Dead);
        }
      }
      if (!hasChanged) {
        continue;
      }
      host.mDescribedAt = mNow;
      std::vector<membership::HostView> view;
      for (const auto& [id, entry] : host.mView) {
        view.push_back(entry.first);
      }
      host.mActive.OnView(mNow, view);
      Do(i, [&](QuotaControl& aIt) {
        return aIt.SetFleet(mNow,
                            DescribeFleet(mNow, host.mIdentity, host.mIsLeaving,
                                          mCentres, view, host.mActive));
      });
    }
    At(mNow + milliseconds(200), [this] { Observe(); });
  }

  template<typename Event>
  void Do(std::size_t aHost, Event aEvent)
  {
    Host& host = mHosts[aHost];
    if (!host.mControl) {
      return;
    }
    if (mNow < host.mFrozenUntil) {
      At(host.mFrozenUntil, [this, aHost, aEvent, id = host.mIdentity.mId] {
        if (mHosts[aHost].mIdentity.mId == id) {
          Do(aHost, aEvent);
        }
      });
      return;
    }
    Execute(aHost, aEvent(*host.mControl));
  }
  void Execute(std::size_t aHost, const Actions& aActions)
  {
    for (const Action& it : aActions) {
      if (const auto* report = std::get_if<SendReport>(&it)) {
        const Report& message = report->mReport;
        Send(aHost, report->mTo,
             [this, message](QuotaControl& aTo, const base::HostId& aFrom) {
               return aTo.OnReport(mNow, aFrom, message);
             });
      } else if (const auto* grant = std::get_if<SendGrant>(&it)) {
        const Grant& message = grant->mGrant;
        Send(aHost, grant->mTo,
             [this, message](QuotaControl& aTo, const base::HostId& aFrom) {
               return aTo.OnGrant(mNow, aFrom, message);
             });
      } else if (const auto* admit = std::get_if<Admit>(&it)) {
        Use(aHost, admit->mToken);
      } else if (const auto* change = std::get_if<TargetChanged>(&it)) {
        mHosts[aHost].mTargets[change->mLevel] = change->mHost;
      }
    }
    ScheduleWake(aHost);
  }
  template<typename Receive>
  void Send(std::size_t aFrom, const base::HostId& aTo, Receive aReceive)
  {
    const std::size_t to = mIndex[aTo];
    const std::size_t left = mHosts[aFrom].mCentre;
    const std::size_t right = mHosts[to].mCentre;
    ++mSent[aFrom];
    mSentBetweenCentres += left != right ? 1 : 0;
    const std::size_t third = std::max<std::size_t>(mOptions.mCentres / 3, 1);
    Duration delay = left == right                   ? milliseconds(1)
                     : left / third == right / third ? milliseconds(2)
                                                     : milliseconds(21);
    // A cut holds back some messages until it ends, or longer.
    const bool isCut = IsCut(aFrom, to);
    if (mRandom.Fraction() < (isCut ? 0.5 : mOptions.mLoss)) {
      return;
    }
    if (isCut || mRandom.Fraction() < mOptions.mLate) {
      delay += milliseconds(mRandom.Below(4000));
    }
    At(mNow + delay, [this, to, aReceive, from = mHosts[aFrom].mIdentity.mId] {
      Do(to,
         [aReceive, from](QuotaControl& aIt) { return aReceive(aIt, from); });
    });
  }
  void Use(std::size_t aHost, const Token& aToken)
  {
    TimePoint time = mNow;
    const TimePoint moment =
      mNow + seconds(6) - mNow.time_since_epoch() % Duration(seconds(6));
    if (mOptions.mIsUseDelayed && moment < aToken.mExpiry &&
        aToken.mExpiry != TimePoint::max()) {
      time = moment;
    }
    mRuns[aToken.mCustomer].push_back({ time, aHost });
  }
  void ScheduleWake(std::size_t aHost)
  {
    Host& host = mHosts[aHost];
    const TimePoint wake =
      std::max(host.mControl->NextWake(mNow), mNow + milliseconds(1));
    if (wake == host.mWake || wake == TimePoint::max()) {
      return;
    }
    host.mWake = wake;
    At(wake, [this, aHost, wake] {
      if (mHosts[aHost].mWake == wake) {
        mHosts[aHost].mWake = TimePoint::max();
        Do(aHost, [this](QuotaControl& aIt) { return aIt.OnTime(mNow); });
      }
    });
  }

  NetworkOptions mOptions;
  base::Random mRandom;
  TimePoint mNow{ seconds(1000) };
  std::multimap<TimePoint, std::function<void()>> mEvents;
  std::vector<Host> mHosts;
  std::map<base::HostId, std::size_t> mIndex;
  std::set<base::DataCentreId> mCentres;
  std::set<std::size_t> mSide;
  QuotaTable mQuotas;
};

} // namespace auburnmux::quotas::test
