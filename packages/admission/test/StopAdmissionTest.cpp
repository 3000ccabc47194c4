#include "admission/Admission.h"

#include "base/test/support/Property.h"

#include <cmath>

using namespace auburnmux;
using namespace auburnmux::admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(StopAdmission){};

TEST(StopAdmission, RequestIsAcceptedIfItsDeadlinePassesBeforeTheExit)
{
  CHECK_TRUE(EndsBeforeExit(seconds(6), { seconds(5), seconds(3) }));
  CHECK_FALSE(EndsBeforeExit(seconds(4), { seconds(5), seconds(3) }));
}

TEST(StopAdmission, RequestOfAShortKindIsAcceptedWhateverItsDeadline)
{
  CHECK_TRUE(EndsBeforeExit(seconds(6), { seconds(20), milliseconds(300) }));
  CHECK_FALSE(EndsBeforeExit(seconds(2), { seconds(20), milliseconds(300) }));
}

// Guards against cutting off accepted requests at the end of the grace period.
// The load: work of 3 s at the mean, 40 s at most, a budget of 15 s, a grace
// period of 10 s, and requests that arrive all the time.
TEST(StopAdmission, StopWithLongWorkCutsFewOfTheAcceptedRequests)
{
  base::Random random(20261205);
  const base::Duration exit = milliseconds(9700);
  int accepted = 0;
  int cut = 0;
  for (const int mean : { 200, 1000, 3000 }) {
    for (int at = 0; at < 4500; at += 5) {
      const double work =
        std::min(40000.0, -std::log(1 - random.Fraction()) * mean);
      const base::Duration left = seconds(15);
      const base::Duration untilExit = exit - milliseconds(at);
      if (!EndsBeforeExit(untilExit, { left, milliseconds(mean) })) {
        continue;
      }
      ++accepted;
      cut += milliseconds(static_cast<int>(work)) > untilExit ? 1 : 0;
    }
  }
  CHECK_TRUE(accepted > 900);
  CHECK_TRUE(cut <= accepted / 1000);
}
