#include "telemetry/src/Metrics.h"

#include <sstream>

namespace auburnmux::telemetry {

namespace {

constexpr std::size_t kMaxSeries = 4096;

std::string FormatLabels(const Labels& aLabels)
{
  std::string text;
  for (const Label& it : aLabels) {
    text += (text.empty() ? "" : ",") + it.mName + "=\"";
    for (const char character : it.mValue) {
      if (character == '"' || character == '\\') {
        text += '\\';
      }
      text += character == '\n' ? ' ' : character;
    }
    text += '"';
  }
  return text;
}

std::string InBraces(const std::string& aLabels)
{
  return aLabels.empty() ? "" : '{' + aLabels + '}';
}

double Seconds(base::Duration aValue)
{
  return std::chrono::duration<double>(aValue).count();
}

void WriteSummary(std::ostream& aOut, const std::string& aName,
                  const std::string& aLabels, const QuantileValues& aValues)
{
  const std::string prefix = aLabels.empty() ? "" : aLabels + ',';
  const auto line = [&](const char* aQuantile, base::Duration aValue) {
    aOut << aName << '{' << prefix << "quantile=\"" << aQuantile << "\"} "
         << Seconds(aValue) << '\n';
  };
  line("0.5", aValues.mP50);
  line("0.95", aValues.mP95);
  line("0.99", aValues.mP99);
  aOut << aName << "_sum" << InBraces(aLabels) << ' ' << Seconds(aValues.mSum)
       << '\n'
       << aName << "_count" << InBraces(aLabels) << ' ' << aValues.mCount
       << '\n';
}

} // namespace

bool Metrics::ReserveSeries()
{
  if (mSeriesCount < kMaxSeries) {
    ++mSeriesCount;
    return true;
  }
  ++mDroppedSamples;
  return false;
}

void Metrics::Count(const std::string& aName, const Labels& aLabels,
                    std::uint64_t aBy)
{
  auto& series = mCounters[aName];
  const std::string labels = FormatLabels(aLabels);
  const auto it = series.find(labels);
  if (it != series.end()) {
    it->second += aBy;
  } else if (ReserveSeries()) {
    series.emplace(labels, aBy);
  }
}

void Metrics::Set(const std::string& aName, const Labels& aLabels,
                  double aValue)
{
  auto& series = mGauges[aName];
  const std::string labels = FormatLabels(aLabels);
  const auto it = series.find(labels);
  if (it != series.end()) {
    it->second = aValue;
  } else if (ReserveSeries()) {
    series.emplace(labels, aValue);
  }
}

void Metrics::Observe(const std::string& aName, const Labels& aLabels,
                      base::TimePoint aNow, base::Duration aValue)
{
  auto& series = mLatencies[aName];
  const std::string labels = FormatLabels(aLabels);
  auto it = series.find(labels);
  if (it == series.end()) {
    if (!ReserveSeries()) {
      return;
    }
    it = series.emplace(labels, Quantiles()).first;
  }
  it->second.Add(aNow, aValue);
}

std::string Metrics::PrometheusText(base::TimePoint aNow)
{
  std::ostringstream out;
  for (const auto& [name, series] : mCounters) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [labels, value] : series) {
      out << name << InBraces(labels) << ' ' << value << '\n';
    }
  }
  for (const auto& [name, series] : mGauges) {
    out << "# TYPE " << name << " gauge\n";
    for (const auto& [labels, value] : series) {
      out << name << InBraces(labels) << ' ' << value << '\n';
    }
  }
  for (auto& [name, series] : mLatencies) {
    out << "# TYPE " << name << " summary\n";
    for (auto& [labels, quantiles] : series) {
      WriteSummary(out, name, labels, quantiles.Read(aNow));
    }
  }
  out << "# TYPE auburnmux_metrics_dropped_total counter\n"
      << "auburnmux_metrics_dropped_total " << mDroppedSamples << '\n';
  return out.str();
}

} // namespace auburnmux::telemetry
