#include "loop_figures.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <memory>
#include <utility>

namespace rhubarbarch::daemon {

namespace {

namespace acc = boost::accumulators;
using Statistics = acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::p_square_quantile>;

constexpr double kHighQuantile = 0.99;

} // namespace

struct LoopFigures::Accumulators
{
  acc::accumulator_set<double, Statistics> seconds{ acc::quantile_probability = kHighQuantile };
};

LoopFigures::LoopFigures(std::string aPrefix)
  : mPrefix(std::move(aPrefix))
  , mAccumulators(std::make_unique<Accumulators>())
{
}

LoopFigures::~LoopFigures() = default;

void
LoopFigures::add(std::size_t aEvents, std::chrono::microseconds aTime)
{
  mEvents += aEvents;
  mAccumulators->seconds(std::chrono::duration<double>(aTime).count());
}

Metrics
LoopFigures::take(const std::string& aRole)
{
  const auto label = "role=\"" + aRole + "\"";
  const auto& seconds = mAccumulators->seconds;
  const bool any = acc::count(seconds) > 0;
  Metrics metrics{
    { mPrefix + "_events_total", label, static_cast<double>(mEvents) },
    { mPrefix + "_mean_seconds", label, any ? acc::mean(seconds) : 0 },
    { mPrefix + "_p99_seconds", label, any ? acc::p_square_quantile(seconds) : 0 },
    { mPrefix + "_max_seconds", label, any ? acc::max(seconds) : 0 },
  };
  mAccumulators = std::make_unique<Accumulators>();
  return metrics;
}

} // namespace rhubarbarch::daemon
