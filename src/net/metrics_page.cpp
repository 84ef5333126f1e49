#include "rhubarbarch/net/operator_api.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <string_view>
#include <tuple>

namespace rhubarbarch::net {

namespace {

std::string
numberText(double aValue)
{
  std::array<char, 32> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), aValue);
  return { digits.data(), end.ptr };
}

} // namespace

std::string
metricLabel(std::string_view aName, std::string_view aValue)
{
  std::string label(aName);
  label += "=\"";
  for (const char symbol : aValue) {
    if (symbol == '\n') {
      label += "\\n";
      continue;
    }
    if (symbol == '\\' || symbol == '"') {
      label += '\\';
    }
    label += symbol;
  }
  return label + '"';
}

std::string
metricsPage(Metrics aMetrics)
{
  // Samples of one name stand together, by labels.
  std::ranges::sort(aMetrics, {}, [](const Metric& aMetric) { return std::tie(aMetric.name, aMetric.labels); });
  std::string page;
  std::string_view name;
  for (const auto& metric : aMetrics) {
    if (metric.name != name) {
      name = metric.name;
      page += "# TYPE " + metric.name + (name.ends_with("_total") ? " counter\n" : " gauge\n");
    }
    page += metric.name;
    if (!metric.labels.empty()) {
      // A line break inside a label would end the sample.
      auto labels = metric.labels;
      std::ranges::replace(labels, '\n', ' ');
      page += "{" + labels + "}";
    }
    page += " " + numberText(metric.value) + "\n";
  }
  return page;
}

} // namespace rhubarbarch::net
