#include "soak/src/Ledger.h"
#include "soak/src/Schedule.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::soak;
using std::chrono::milliseconds;

namespace {

base::TimePoint At(int aMilliseconds)
{
  return base::TimePoint(std::chrono::seconds(100) +
                         milliseconds(aMilliseconds));
}

} // namespace

TEST_GROUP(Soak){};

TEST(Soak, LedgerFindsEachBreach)
{
  Ledger ledger(true);
  ledger.OnRun(At(0), "a", false, "u1", "c1");
  ledger.OnRun(At(1), "a", false, "u2", "c1");
  CHECK_EQUAL(1U, ledger.Breaches().size()); // twice
  ledger.OnAnswer(At(2), { "a", false, 503 });
  CHECK_EQUAL(2U, ledger.Breaches().size()); // refused though it ran
  ledger.OnAnswer(At(3), { "b", false, 503 });
  ledger.OnRun(At(4), "b", false, "u1", "c1");
  CHECK_EQUAL(3U, ledger.Breaches().size()); // runs after its refusal
  ledger.OnAnswer(At(5), { "c", true, 200, false });
  CHECK_EQUAL(4U, ledger.Breaches().size()); // another's response
  ledger.OnLeaving(At(10), "u3");
  ledger.OnRun(At(2400), "d", true, "u3", "c1");
  CHECK_EQUAL(4U, ledger.Breaches().size());
  ledger.OnRun(At(2600), "e", true, "u3", "c1");
  CHECK_EQUAL(5U, ledger.Breaches().size()); // after the drain
  ledger.OnRun(At(2700), "f", true, "u1", "c1");
  ledger.OnAnswer(At(2800), { "f", true, 0, true, true });
  CHECK_EQUAL(6U, ledger.Breaches().size()); // cut by a planned stop
  ledger.OnVersion(At(3000), 2);
  ledger.OnVersionProbe(At(3100), "h1", 2, false);
  CHECK_EQUAL(6U, ledger.Breaches().size());
  ledger.OnVersionProbe(At(3200), "h1", 2, true);
  ledger.OnVersionProbe(At(3300), "h1", 2, false);
  CHECK_EQUAL(7U, ledger.Breaches().size()); // goes back
  ledger.OnVersionProbe(At(5600), "h2", 2, false);
  CHECK_EQUAL(8U, ledger.Breaches().size()); // not in force
}

TEST(Soak, LedgerFindsWorkForCallersThatLeft)
{
  Ledger ledger(true);
  ledger.OnCallerLeft(At(0), "a");
  ledger.OnRun(At(400), "a", true, "u1", "c1");
  CHECK_TRUE(ledger.Breaches().empty());
  ledger.OnRun(At(600), "a", true, "u1", "c1");
  CHECK_EQUAL(1U, ledger.Breaches().size()); // begins
  ledger.OnWorkDone(At(400), "a");
  CHECK_EQUAL(1U, ledger.Breaches().size());
  ledger.OnWorkDone(At(600), "a");
  CHECK_EQUAL(2U, ledger.Breaches().size()); // goes on
  ledger.OnDisturbance(At(1000));
  ledger.OnCallerLeft(At(1100), "b");
  ledger.OnWorkDone(At(2000), "b");
  CHECK_EQUAL(2U, ledger.Breaches().size());
  ledger.OnRun(At(2000), "b", true, "u1", "c1");
  CHECK_EQUAL(3U, ledger.Breaches().size()); // begins, also after a pause
  ledger.OnLinkFault(At(2100));
  ledger.OnCallerLeft(At(2200), "c");
  ledger.OnRun(At(3000), "c", true, "u1", "c1");
  CHECK_EQUAL(3U, ledger.Breaches().size());
}

TEST(Soak, FaultsSuspendOnlyThePromisesThatDependOnThem)
{
  Ledger ledger(true);
  ledger.OnDisturbance(At(1000));
  ledger.OnLeaving(At(1500), "u1");
  ledger.OnRun(At(6000), "a", true, "u1", "c1");
  CHECK_TRUE(ledger.Breaches().empty());
  ledger.OnRun(At(6100), "b", false, "u2", "c1");
  ledger.OnRun(At(6200), "b", false, "u2", "c1");
  CHECK_EQUAL(1U, ledger.Breaches().size());
}

TEST(Soak, SeedRepeatsItsSchedule)
{
  const auto first = DrawSchedule(7, std::chrono::seconds(60));
  CHECK_TRUE(first.size() > 20);
  CHECK_TRUE(Describe(first) ==
             Describe(DrawSchedule(7, std::chrono::seconds(60))));
  CHECK_TRUE(Describe(first) !=
             Describe(DrawSchedule(8, std::chrono::seconds(60))));
}
