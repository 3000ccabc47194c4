#include "admission/Admission.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cxxopts.hpp>
#include <map>
#include <variant>

using namespace auburnmux;
using admission::AdmissionQueue;
using admission::QueuedRequest;
using admission::Ticket;

namespace {

using Seconds = std::chrono::duration<double>;

constexpr base::TimePoint kStart{ std::chrono::seconds(100) };

/** A refusal this soon after the arrival counts as immediate. */
constexpr base::Duration kAtOnce = std::chrono::milliseconds(50);

struct Load
{
  int mSlots = 48;
  /** Offered work as a multiple of the slots. */
  double mFactor = 1.3;
  Seconds mWork{ 0.15 };
  Seconds mTarget{ 0.2 };
  Seconds mDeadline{ 1.2 };
  Seconds mLength{ 60 };
  std::uint64_t mSeed = 1;
};

struct Counts
{
  int mInTime = 0;
  int mLate = 0;
  int mRefusedAtOnce = 0;
  int mRefusedLate = 0;
  int mFailed = 0;
};

base::Duration Exact(Seconds aTime)
{
  return std::chrono::duration_cast<base::Duration>(aTime);
}

/** On-time requests first, in order of arrival; the rest waits until its
 * deadline. */
struct ArrivalOrder
{
  static constexpr const char* kName = "arrival order";
};
/** As ArrivalOrder, but the newest of the on-time requests first. */
struct NewestFirst
{
  static constexpr const char* kName = "newest first";
};
/** Requests are refused on arrival if the queue would make them overdue. */
struct BoundedQueue
{
  static constexpr const char* kName = "bounded queue";
};
/** As ArrivalOrder, but overdue requests leave as many slots free as on-time
 * requests need during one work time. */
struct IdleSlotsOnly
{
  static constexpr const char* kName = "overdue on idle slots";
};
/** As ArrivalOrder, but overdue requests in excess are refused: the shipped
 * decision. */
struct RefuseExcess
{
  static constexpr const char* kName = "refuse excess (built)";
};

using Policy = std::variant<ArrivalOrder, NewestFirst, BoundedQueue,
                            IdleSlotsOnly, RefuseExcess>;

/** One queue in front of a pool of slots, in virtual time. */
class Simulation
{
public:
  Simulation(const Load& aLoad, Policy aPolicy)
    : mLoad(aLoad)
    , mPolicy(aPolicy)
    , mRandom(aLoad.mSeed)
    , mFree(aLoad.mSlots)
  {
  }

  Counts Run();

private:
  void Arrive(base::TimePoint aNow);
  void Dispatch(base::TimePoint aNow);
  void Refuse(base::TimePoint aNow, Ticket aTicket);
  void Send(base::TimePoint aNow, Ticket aTicket);
  bool MaySend(base::TimePoint aNow, const QueuedRequest& aRequest) const;
  std::vector<Ticket> Order(base::TimePoint aNow);
  Seconds Exponential(Seconds aMean)
  {
    return -std::log(1 - mRandom.Fraction()) * aMean;
  }

  Load mLoad;
  Policy mPolicy;
  base::Random mRandom;
  int mFree;
  AdmissionQueue mQueue;
  std::map<std::uint64_t, QueuedRequest> mWaiting;
  std::multimap<base::TimePoint, QueuedRequest> mRunning;
  std::uint64_t mLastTicket = 0;
  Counts mCounts;
};

void Simulation::Refuse(base::TimePoint aNow, Ticket aTicket)
{
  const bool isAtOnce = aNow - mWaiting.at(aTicket.Count()).mArrived <= kAtOnce;
  ++(isAtOnce ? mCounts.mRefusedAtOnce : mCounts.mRefusedLate);
  mQueue.Remove(aTicket);
  mWaiting.erase(aTicket.Count());
}

void Simulation::Send(base::TimePoint aNow, Ticket aTicket)
{
  mQueue.OnSent(aNow, aTicket);
  mQueue.Remove(aTicket);
  const auto it = mWaiting.find(aTicket.Count());
  mRunning.emplace(aNow + Exact(Exponential(mLoad.mWork)), it->second);
  mWaiting.erase(it);
  --mFree;
}

void Simulation::Arrive(base::TimePoint aNow)
{
  const Ticket ticket(++mLastTicket);
  const QueuedRequest request{ ticket, 0, aNow,
                               aNow + Exact(mLoad.mTarget - mLoad.mWork),
                               aNow + Exact(mLoad.mDeadline - mLoad.mWork) };
  mQueue.Add(request);
  mWaiting[ticket.Count()] = request;
  const Seconds wait = mLoad.mWork * static_cast<double>(mWaiting.size()) /
                       static_cast<double>(mLoad.mSlots);
  if (std::holds_alternative<BoundedQueue>(mPolicy) && mFree == 0 &&
      aNow + Exact(wait) > request.mSendBy) {
    Refuse(aNow, ticket);
  }
}

bool Simulation::MaySend(base::TimePoint aNow,
                         const QueuedRequest& aRequest) const
{
  if (aRequest.mSendBy >= aNow ||
      !std::holds_alternative<IdleSlotsOnly>(mPolicy)) {
    return true;
  }
  return mFree > mLoad.mFactor * mLoad.mSlots;
}

std::vector<Ticket> Simulation::Order(base::TimePoint aNow)
{
  std::vector<Ticket> order = mQueue.First(aNow, mWaiting.size());
  if (std::holds_alternative<NewestFirst>(mPolicy)) {
    const auto overdue =
      std::find_if(order.begin(), order.end(), [&](Ticket aIt) {
        return mWaiting.at(aIt.Count()).mSendBy < aNow;
      });
    std::reverse(order.begin(), overdue);
  }
  return order;
}

void Simulation::Dispatch(base::TimePoint aNow)
{
  for (const Ticket it : Order(aNow)) {
    const QueuedRequest& request = mWaiting.at(it.Count());
    if (request.mGiveUpAt < aNow) {
      Refuse(aNow, it);
    } else if (mFree > 0 && MaySend(aNow, request)) {
      Send(aNow, it);
    }
  }
  if (std::holds_alternative<RefuseExcess>(mPolicy)) {
    for (const Ticket it : mQueue.Excess(aNow)) {
      Refuse(aNow, it);
    }
  }
}

Counts Simulation::Run()
{
  const base::TimePoint end = kStart + Exact(mLoad.mLength);
  const Seconds gap = mLoad.mWork / (mLoad.mFactor * mLoad.mSlots);
  base::TimePoint next = kStart;
  while (next < end || !mRunning.empty()) {
    const bool isArrival =
      next < end && (mRunning.empty() || next <= mRunning.begin()->first);
    const base::TimePoint now = isArrival ? next : mRunning.begin()->first;
    if (isArrival) {
      Arrive(now);
      next += Exact(Exponential(gap));
    } else {
      const base::Duration total = now - mRunning.begin()->second.mArrived;
      int& count = total <= Exact(mLoad.mTarget)     ? mCounts.mInTime
                   : total <= Exact(mLoad.mDeadline) ? mCounts.mLate
                                                     : mCounts.mFailed;
      ++count;
      mRunning.erase(mRunning.begin());
      ++mFree;
    }
    Dispatch(now);
  }
  return mCounts;
}

void Print(const Load& aLoad, Policy aPolicy)
{
  const Counts counts = Simulation(aLoad, aPolicy).Run();
  const char* name =
    std::visit([](const auto& aIt) { return aIt.kName; }, aPolicy);
  std::printf("| %.2f | %s | %d | %d | %d | %d | %d |\n", aLoad.mFactor, name,
              counts.mInTime, counts.mLate, counts.mRefusedAtOnce,
              counts.mRefusedLate, counts.mFailed);
}

} // namespace

int main(int aCount, char** aWords)
{
  cxxopts::Options options("compare_admission",
                           "Compares admission decisions in virtual time");
  options.add_options()("seed", "seed of the load",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
    "help", "print this text");
  const auto words = options.parse(aCount, aWords);
  if (words.count("help") > 0) {
    std::printf("%s", options.help().c_str());
    return 0;
  }
  std::printf(
    "| load | decision | in time | late | refused at once | refused "
    "later | failed |\n| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const double factor : { 0.9, 1.1, 1.5 }) {
    Load load;
    load.mFactor = factor;
    load.mSeed = words["seed"].as<std::uint64_t>();
    for (const Policy& it : { Policy(ArrivalOrder{}), Policy(NewestFirst{}),
                              Policy(BoundedQueue{}), Policy(IdleSlotsOnly{}),
                              Policy(RefuseExcess{}) }) {
      Print(load, it);
    }
  }
  return 0;
}
