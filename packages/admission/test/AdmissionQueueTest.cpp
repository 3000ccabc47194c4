#include "admission/Admission.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(AdmissionQueue)
{
  AdmissionQueue mQueue;
  base::TimePoint mNow{ seconds(100) };
  std::uint64_t mLastTicket = 0;

  /** Adds a request that is on time for \a aOnTimeFor, and is given up after
   * \a aTimeLeft. */
  Ticket Add(std::uint32_t aRank, milliseconds aOnTimeFor,
             milliseconds aTimeLeft)
  {
    const Ticket ticket(++mLastTicket);
    mQueue.Add({ ticket, aRank, mNow, mNow + aOnTimeFor, mNow + aTimeLeft });
    return ticket;
  }
  /** Sends the first request of the queue. */
  void SendFirst()
  {
    const auto first = mQueue.First(mNow, 1);
    CHECK_EQUAL(1U, first.size());
    mQueue.OnSent(mNow, first.front());
    mQueue.Remove(first.front());
  }
};

TEST(AdmissionQueue, OnTimeRequestsPrecedeOverdueOnesAndRanksDecideAmongThem)
{
  const Ticket overdue = Add(0, milliseconds(10), seconds(1));
  const Ticket low = Add(2, milliseconds(500), seconds(1));
  const Ticket high = Add(1, milliseconds(500), seconds(1));
  mNow += milliseconds(50);
  const std::vector<Ticket> order = mQueue.First(mNow, 3);
  CHECK_TRUE(order == (std::vector<Ticket>{ high, low, overdue }));
}

// Guards against holding requests to their deadline in a lasting overload,
// where no overdue request is ever sent.
TEST(AdmissionQueue, OverdueRequestsThatWontBeReachedAreInExcess)
{
  for (int i = 0; i < 40; ++i) {
    Add(1, milliseconds(10), seconds(1));
  }
  CHECK_TRUE(mQueue.Excess(mNow).empty()); // all are on time
  mNow += milliseconds(50);
  const std::size_t n = mQueue.Excess(mNow).size();
  CHECK_TRUE(n > 30 && n < 40);
}

TEST(AdmissionQueue, OverdueRequestsThatWillBeReachedAreNot)
{
  for (int i = 0; i < 200; ++i) {
    Add(1, milliseconds(-1), seconds(30));
  }
  for (int i = 0; i < 100; ++i) {
    mNow += milliseconds(10);
    SendFirst();
  }
  // Some 60 a second are measured after the first second.
  CHECK_TRUE(mQueue.Excess(mNow).empty());
}

TEST(AdmissionQueue, RateOfThePastIsForgotten)
{
  for (int i = 0; i < 200; ++i) {
    Add(1, milliseconds(-1), seconds(30));
  }
  for (int i = 0; i < 100; ++i) {
    mNow += milliseconds(10);
    SendFirst();
  }
  mNow += seconds(10);
  CHECK_TRUE(mQueue.Excess(mNow).size() > 90);
}

// Guards against refusing a request only because its kind has no history.
TEST(AdmissionQueue, RequestsOfUnknownWorkTimeAreNeverInExcess)
{
  for (int i = 0; i < 40; ++i) {
    mQueue.Add({ Ticket(static_cast<std::uint64_t>(i) + 1), 1, mNow,
                 mNow - milliseconds(1) });
  }
  CHECK_TRUE(mQueue.Excess(mNow).empty());
}
