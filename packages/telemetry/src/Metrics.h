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
 * Metrics of a process: counters, gauges and latency summaries. A series is
 * created on first use. The number of series is bounded; samples for further
 * series are dropped and counted.
 */
class Metrics
{
public:
  /** Increments a counter. */
  void Count(const std::string& aName, const Labels& aLabels = {},
             std::uint64_t aBy = 1);
  /** Sets a gauge. */
  void Set(const std::string& aName, const Labels& aLabels, double aValue);
  /** Adds a sample to a latency summary. */
  void Observe(const std::string& aName, const Labels& aLabels,
               base::TimePoint aNow, base::Duration aValue);

  /** \returns all series in the Prometheus text format, with times in seconds.
   */
  std::string PrometheusText(base::TimePoint aNow);

private:
  /** Counts a new series. \returns false, and counts a dropped sample, if there
   * are too many. */
  bool ReserveSeries();

  std::map<std::string, std::map<std::string, std::uint64_t>> mCounters;
  std::map<std::string, std::map<std::string, double>> mGauges;
  std::map<std::string, std::map<std::string, Quantiles>> mLatencies;
  std::size_t mSeriesCount = 0;
  std::uint64_t mDroppedSamples = 0;
};

} // namespace auburnmux::telemetry
