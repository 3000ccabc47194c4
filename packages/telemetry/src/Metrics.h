#pragma once

#include "base/Base.h"
#include "telemetry/src/Quantiles.h"

#include <map>
#include <string>
#include <vector>

namespace auburnmux::telemetry {

/** One label of a metric, such as {"service", "subsidy-core"}. */
struct Label
{
  std::string mName;
  std::string mValue;
};

using Labels = std::vector<Label>;

/**
 * The metrics of a process. A series is made on first use; the number of
 * series is bounded, and what goes beyond is counted and dropped.
 */
class Metrics
{
public:
  void Count(const std::string& aName, const Labels& aLabels = {},
             std::uint64_t aBy = 1);
  void Set(const std::string& aName, const Labels& aLabels, double aValue);
  void Observe(const std::string& aName, const Labels& aLabels,
               base::TimePoint aNow, base::Duration aValue);

  /** \returns all series in the Prometheus text format; times in seconds. */
  std::string PrometheusText(base::TimePoint aNow);

private:
  bool HasRoom();

  std::map<std::string, std::map<std::string, std::uint64_t>> mCounters;
  std::map<std::string, std::map<std::string, double>> mGauges;
  std::map<std::string, std::map<std::string, Quantiles>> mLatencies;
  std::size_t mSeries = 0;
  std::uint64_t mDropped = 0;
};

} // namespace auburnmux::telemetry
