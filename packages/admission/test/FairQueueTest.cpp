#include "admission/Admission.h"

#include "base/test/support/Property.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

using namespace auburnmux;
using namespace auburnmux::admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::TimePoint kStart{ seconds(100) };

/** The order before customers existed: on-time requests, then overdue ones,
 * each by rank, arrival and ticket. */
std::vector<Ticket> OldOrder(base::TimePoint aNow,
                             std::vector<QueuedRequest> aRequests,
                             std::size_t aMaxCount)
{
  const auto key = [aNow](const QueuedRequest& aIt) {
    return std::make_tuple(aIt.mSendBy < aNow, aIt.mRank, aIt.mArrived,
                           aIt.mTicket);
  };
  std::sort(aRequests.begin(), aRequests.end(),
            [&](const QueuedRequest& aLeft, const QueuedRequest& aRight) {
              return key(aLeft) < key(aRight);
            });
  aRequests.resize(std::min(aRequests.size(), aMaxCount));
  std::vector<Ticket> tickets;
  std::transform(aRequests.begin(), aRequests.end(),
                 std::back_inserter(tickets),
                 [](const QueuedRequest& aIt) { return aIt.mTicket; });
  return tickets;
}

/** A random series of arrivals, requests sent and requests given up. All are of
 * \a aCustomer. */
void CheckOldOrder(std::uint64_t aSeed, const char* aCustomer)
{
  base::Random random(aSeed);
  AdmissionQueue queue;
  std::vector<QueuedRequest> waiting;
  base::TimePoint now = kStart;
  for (std::uint64_t i = 1; i <= 150; ++i) {
    now += milliseconds(random.Below(20));
    QueuedRequest request;
    request.mTicket = Ticket(i);
    request.mRank = static_cast<std::uint32_t>(random.Below(3));
    // Repeated requests arrived earlier than those before them.
    request.mArrived = now - milliseconds(random.Below(50));
    request.mSendBy = now + milliseconds(random.Below(200));
    request.mService = base::ServiceId(std::to_string(random.Below(3)));
    request.mCustomer = customers::CustomerId(aCustomer);
    queue.Add(request);
    waiting.push_back(request);
    const std::size_t n = 1 + random.Below(64);
    const std::vector<Ticket> first = queue.First(now, n);
    RC_ASSERT(first == OldOrder(now, waiting, n));
    for (std::uint64_t it = random.Below(3); it > 0 && !waiting.empty(); --it) {
      const auto leaving = waiting.begin() + static_cast<std::ptrdiff_t>(
                                               random.Below(waiting.size()));
      if (random.Below(2) == 0) {
        queue.OnSent(now, leaving->mTicket);
      }
      queue.Remove(leaving->mTicket);
      waiting.erase(leaving);
    }
  }
}

/** Requests of customers that share the slots of one service, in virtual time.
 */
class SharedSlots
{
public:
  struct Result
  {
    int mSent = 0;
    int mInTime = 0;
    int mRefused = 0;

    double InTimeShare() const { return double(mInTime) / mSent; }
  };
  /** \param aIsFair whether the queue knows the customers */
  explicit SharedSlots(bool aIsFair)
    : mIsFair(aIsFair)
  {
  }

  /** Lets each customer send at its rate, in Poisson arrivals. */
  void Run(const std::vector<double>& aRates, seconds aLength);

  const Result& Of(std::size_t aCustomer) { return mResults[aCustomer]; }

private:
  static constexpr int kSlots = 24;
  static constexpr double kWork = 0.15;
  static constexpr double kTarget = 0.5;
  static constexpr double kDeadline = 3;

  base::Duration Exponential(double aMean)
  {
    return Exact(-std::log(1 - mRandom.Fraction()) * aMean);
  }
  static base::Duration Exact(double aSeconds)
  {
    return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(aSeconds));
  }
  void Arrive(base::TimePoint aNow, std::size_t aCustomer);
  void Send(base::TimePoint aNow, std::size_t aCustomer,
            base::TimePoint aArrived);
  void Dispatch(base::TimePoint aNow);

  bool mIsFair;
  base::Random mRandom{ 20261207 };
  AdmissionQueue mQueue;
  std::map<Ticket, std::pair<std::size_t, base::TimePoint>> mWaiting;
  std::multimap<base::TimePoint, int> mRunning;
  std::map<std::size_t, Result> mResults;
  std::uint64_t mLastTicket = 0;
};

void SharedSlots::Send(base::TimePoint aNow, std::size_t aCustomer,
                       base::TimePoint aArrived)
{
  const base::TimePoint end = aNow + Exponential(kWork);
  mRunning.emplace(end, 0);
  mResults[aCustomer].mInTime += end - aArrived <= Exact(kTarget) ? 1 : 0;
}

void SharedSlots::Arrive(base::TimePoint aNow, std::size_t aCustomer)
{
  ++mResults[aCustomer].mSent;
  QueuedRequest request;
  request.mTicket = Ticket(++mLastTicket);
  request.mArrived = aNow;
  request.mSendBy = aNow + Exact(kTarget - kWork);
  request.mGiveUpAt = aNow + Exact(kDeadline - kWork);
  request.mService = base::ServiceId("core");
  if (mIsFair) {
    request.mCustomer = customers::CustomerId(std::to_string(aCustomer));
  }
  mWaiting[request.mTicket] = { aCustomer, aNow };
  mQueue.Add(request);
}

void SharedSlots::Dispatch(base::TimePoint aNow)
{
  while (mRunning.size() < kSlots && !mQueue.IsEmpty()) {
    const Ticket ticket = mQueue.First(aNow, 64).front();
    mQueue.OnSent(aNow, ticket);
    mQueue.Remove(ticket);
    Send(aNow, mWaiting.at(ticket).first, mWaiting.at(ticket).second);
    mWaiting.erase(ticket);
  }
  for (const Ticket it : mQueue.Excess(aNow)) {
    mQueue.Remove(it);
    ++mResults[mWaiting.at(it).first].mRefused;
    mWaiting.erase(it);
  }
}

void SharedSlots::Run(const std::vector<double>& aRates, seconds aLength)
{
  std::multimap<base::TimePoint, std::size_t> arrivals;
  for (std::size_t i = 0; i < aRates.size(); ++i) {
    for (auto at = kStart + Exponential(1 / aRates[i]); at < kStart + aLength;
         at += Exponential(1 / aRates[i])) {
      arrivals.emplace(at, i);
    }
  }
  for (auto it = arrivals.begin(); it != arrivals.end();) {
    const bool isEnd =
      !mRunning.empty() && mRunning.begin()->first <= it->first;
    const base::TimePoint now = isEnd ? mRunning.begin()->first : it->first;
    if (isEnd) {
      mRunning.erase(mRunning.begin());
    } else {
      Arrive(now, it->second);
      ++it;
    }
    Dispatch(now);
  }
}

} // namespace

TEST_GROUP(FairQueue)
{
  AdmissionQueue mQueue;
  std::uint64_t mLastTicket = 0;

  QueuedRequest Request(const char* aCustomer, double aWeight = 1)
  {
    QueuedRequest request;
    request.mTicket = Ticket(++mLastTicket);
    request.mRank = 1;
    request.mArrived = kStart + milliseconds(mLastTicket);
    request.mSendBy = kStart + seconds(1);
    request.mService = base::ServiceId("core");
    request.mCustomer = customers::CustomerId(aCustomer);
    request.mWeight = aWeight;
    return request;
  }
  Ticket Add(const QueuedRequest& aRequest)
  {
    mQueue.Add(aRequest);
    return aRequest.mTicket;
  }
  /** Sends the first request. \returns its customer's name */
  std::string SendFirst(std::map<Ticket, std::string> & aNames)
  {
    const Ticket ticket = mQueue.First(kStart, 64).front();
    mQueue.OnSent(kStart, ticket);
    mQueue.Remove(ticket);
    return aNames.at(ticket);
  }
};

// Guards against another order in deployments without customers.
TEST(FairQueue, WithoutCustomersTheOrderIsAsBefore)
{
  CHECK_PROPERTY("requests are ordered by rank and arrival",
                 [](std::uint64_t aSeed) { CheckOldOrder(aSeed, ""); });
}

TEST(FairQueue, WithOneCustomerTheOrderIsAsBefore)
{
  CHECK_PROPERTY("requests are ordered by rank and arrival",
                 [](std::uint64_t aSeed) { CheckOldOrder(aSeed, "north"); });
}

TEST(FairQueue, RankOfTheCustomerPrecedesThatOfTheRoute)
{
  QueuedRequest low = Request("low");
  low.mRank = 0;
  low.mCustomerRank = 2;
  QueuedRequest high = Request("high");
  high.mRank = 3;
  high.mCustomerRank = 1;
  QueuedRequest plain = Request("plain"); // the route's rank, 1
  const Ticket first = Add(low);
  const Ticket second = Add(high);
  const Ticket third = Add(plain);
  const std::vector<Ticket> expected = { third, second, first };
  CHECK_TRUE(mQueue.First(kStart, 3) == expected);
}

TEST(FairQueue, CustomersAreServedByTheirWeights)
{
  std::map<Ticket, std::string> names;
  for (int i = 0; i < 300; ++i) {
    names[Add(Request("light", 10))] = "light";
  }
  for (int i = 0; i < 300; ++i) {
    names[Add(Request("heavy", 30))] = "heavy";
  }
  int heavy = 0;
  for (int i = 0; i < 200; ++i) {
    heavy += SendFirst(names) == "heavy" ? 1 : 0;
  }
  CHECK_TRUE(heavy >= 148 && heavy <= 152);
}

// Guards against a customer that saves up its share while it is idle, and then
// takes all slots.
TEST(FairQueue, IdleCustomersSaveNothingUp)
{
  std::map<Ticket, std::string> names;
  for (int i = 0; i < 300; ++i) {
    names[Add(Request("steady"))] = "steady";
  }
  for (int i = 0; i < 100; ++i) {
    SendFirst(names);
  }
  for (int i = 0; i < 100; ++i) {
    names[Add(Request("late"))] = "late";
  }
  int late = 0;
  for (int i = 0; i < 40; ++i) {
    late += SendFirst(names) == "late" ? 1 : 0;
  }
  CHECK_TRUE(late >= 19 && late <= 21);
}

// Guards against an arriving request that takes the slot of those that wait.
TEST(FairQueue, ArrivingRequestIsNextOnlyIfItsCustomerIsNotAhead)
{
  CHECK_TRUE(mQueue.IsNext(kStart, Request("north")));
  std::map<Ticket, std::string> names;
  for (int i = 0; i < 8; ++i) {
    names[Add(Request("north"))] = "north";
  }
  CHECK_FALSE(mQueue.IsNext(kStart, Request("north")));
  for (int i = 0; i < 4; ++i) {
    SendFirst(names);
  }
  CHECK_TRUE(mQueue.IsNext(kStart, Request("south")));
  mQueue.OnSentDirectly(Request("south"));
  CHECK_FALSE(mQueue.IsNext(kStart, Request("south")));
  QueuedRequest urgent = Request("north");
  urgent.mCustomerRank = 0;
  CHECK_TRUE(mQueue.IsNext(kStart, urgent));
  QueuedRequest elsewhere = Request("north");
  elsewhere.mService = base::ServiceId("other");
  CHECK_TRUE(mQueue.IsNext(kStart, elsewhere));
  Add(urgent);
  CHECK_FALSE(mQueue.IsNext(kStart, Request("south")));
}

// Guards against a round that tries only requests which few upstreams may
// handle, while others have room for the rest.
TEST(FairQueue, OneCustomerDoesNotFillARoundWhileOthersWait)
{
  for (int i = 0; i < 100; ++i) {
    QueuedRequest request = Request("flood");
    request.mCustomerRank = 0;
    Add(request);
  }
  const Ticket other = Add(Request("other"));
  const std::vector<Ticket> round = mQueue.First(kStart, 64);
  CHECK_EQUAL(64U, round.size());
  CHECK_TRUE(round[16] == other);
}

// Plays the load that the order answers: one customer in five sends 5 times its
// usual rate for 8 s, on slots with a quarter to spare. Guards against a
// customer that takes the capacity of all others.
TEST(FairQueue, CustomersAtTheirUsualRateAreInTimeWhileOneFloods)
{
  constexpr double kUsual = 25.6; // 5 of them: 0.8 of the slots
  const std::vector<double> rates = { 5 * kUsual, kUsual, kUsual, kUsual,
                                      kUsual };
  SharedSlots fair(true);
  SharedSlots byArrival(false);
  fair.Run(rates, seconds(8));
  byArrival.Run(rates, seconds(8));
  SharedSlots::Result others;
  for (std::size_t i = 1; i < rates.size(); ++i) {
    CHECK_TRUE(fair.Of(i).InTimeShare() > 0.9);
    CHECK_TRUE(byArrival.Of(i).InTimeShare() < 0.6);
    CHECK_EQUAL(0, fair.Of(i).mRefused);
    others.mSent += fair.Of(i).mSent;
    others.mInTime += fair.Of(i).mInTime;
  }
  // The work alone takes longer than the target in 36 of 1,000 requests.
  CHECK_TRUE(others.InTimeShare() > 0.93);
  // The flood gets what the others leave: it still has its usual rate.
  CHECK_TRUE(fair.Of(0).mInTime > kUsual * 8);
}
