#include "telemetry/Telemetry.h"

#include "base/test/support/Property.h"

using namespace auburnmux;
using namespace auburnmux::telemetry;

TEST_GROUP(Telemetry){};

// Guards against quantiles that mix windows or come from too few samples.
TEST(Telemetry, QuantilesFollowTheLastWindow)
{
  Quantiles quantiles(std::chrono::seconds(10));
  base::TimePoint now{ std::chrono::seconds(100) };
  for (int i = 0; i < 10000; ++i) {
    quantiles.Add(now, std::chrono::microseconds(i % 1000));
  }
  const QuantileValues early = quantiles.Read(now);
  CHECK_EQUAL(10000, early.mCount);
  CHECK_TRUE(early.mP50 > std::chrono::microseconds(450));
  CHECK_TRUE(early.mP50 < std::chrono::microseconds(550));
  CHECK_TRUE(early.mP99 > std::chrono::microseconds(950));
  now += std::chrono::seconds(25);
  CHECK_TRUE(quantiles.Read(now).mP50 == base::Duration::zero());
}

// Guards against unbounded memory use by label values from outside.
TEST(Telemetry, SeriesAreBounded)
{
  Metrics metrics;
  for (int i = 0; i < 10000; ++i) {
    metrics.Count("c", { { "id", std::to_string(i) } });
  }
  const std::string text = metrics.PrometheusText(base::TimePoint{});
  CHECK_TRUE(text.find("auburnmux_metrics_dropped_total 5904") !=
             std::string::npos);
}

TEST(Telemetry, TraceContextSurvivesTheHeader)
{
  CHECK_PROPERTY("parse(format(x)) == x", [](std::uint64_t aSeed) {
    base::Random random(aSeed);
    const TraceContext context = ChildOf(StartTrace(random), random);
    const auto parsed = ParseTraceContext(context.ToHeader());
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->ToHeader() == context.ToHeader());
  });
  CHECK_PROPERTY("any text is safe", [](const std::string& aText) {
    (void)ParseTraceContext(aText);
  });
  CHECK_FALSE(ParseTraceContext(
    "00-00000000000000000000000000000000-0000000000000001-01"));
}

TEST(Telemetry, SpanLogKeepsTheNewest)
{
  SpanLog log(2);
  for (const char* it : { "one", "two", "three" }) {
    Span span;
    span.mName = it;
    log.Add(span);
  }
  const std::string text = log.Text("");
  CHECK_TRUE(text.find("name=one") == std::string::npos);
  CHECK_TRUE(text.find("name=three") != std::string::npos);
}
