#include "placing/Placing.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::placing;
using std::chrono::milliseconds;

TEST_GROUP(WorkEstimates)
{
  static constexpr milliseconds kTarget{ 1000 };
  WorkEstimates mEstimates;

  void Add(int aCount, milliseconds aWork)
  {
    for (int i = 0; i < aCount; ++i) {
      mEstimates.AddSample("kind", Warmth::None, aWork, kTarget);
    }
  }
  base::Duration Estimate() const
  {
    return mEstimates.Estimate("kind", Warmth::None, kTarget);
  }
};

// Guards against refusing work on an added route as too late: its estimate,
// from a latency target of 1 s, took 60 samples to reach work of some
// milliseconds (found on brazos-mux scale-1, CONFIG).
TEST(WorkEstimates, FewSamplesReplaceTheDefaultOfANewKind)
{
  Add(4, milliseconds(5));
  CHECK_TRUE(Estimate() < milliseconds(300));
}

TEST(WorkEstimates, OneLongRequestDoesntReplaceTheMean)
{
  Add(100, milliseconds(200));
  Add(1, milliseconds(5000));
  CHECK_TRUE(Estimate() < milliseconds(300));
}
