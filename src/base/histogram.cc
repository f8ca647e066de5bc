#include "base/histogram.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <mutex>
#include <sstream>

namespace savory {
namespace {

namespace acc = boost::accumulators;

using Quantiles = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using Totals = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;

// Upper bounds of the buckets, in seconds.
constexpr std::array kBounds = {0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                0.1,    0.25,    0.5,    1.0,   2.5,    5.0,   10.0, 30.0,  100.0};
constexpr std::array kProbabilities = {0.5, 0.95, 0.99};

Quantiles MakeQuantiles(double probability) {
  return Quantiles(acc::quantile_probability = probability);
}

}  // namespace

struct Histogram::Impl {
  mutable std::mutex mutex;
  std::array<std::uint64_t, kBounds.size() + 1> buckets = {};
  Totals totals;
  std::array<Quantiles, kProbabilities.size()> quantiles = {MakeQuantiles(kProbabilities[0]),
                                                            MakeQuantiles(kProbabilities[1]),
                                                            MakeQuantiles(kProbabilities[2])};
};

Histogram::Histogram() : impl(std::make_unique<Impl>()) {}
Histogram::~Histogram() = default;

void Histogram::Observe(double seconds) {
  const std::scoped_lock lock(this->impl->mutex);
  const auto bound = std::lower_bound(kBounds.begin(), kBounds.end(), seconds);
  ++this->impl->buckets[static_cast<std::size_t>(bound - kBounds.begin())];
  this->impl->totals(seconds);
  for (Quantiles& quantile : this->impl->quantiles) quantile(seconds);
}

double Histogram::Quantile(double probability) const {
  const std::scoped_lock lock(this->impl->mutex);
  if (acc::count(this->impl->totals) == 0) return 0;
  for (std::size_t i = 0; i < kProbabilities.size(); ++i) {
    if (kProbabilities[i] == probability) return acc::p_square_quantile(this->impl->quantiles[i]);
  }
  return 0;
}

std::uint64_t Histogram::Count() const {
  const std::scoped_lock lock(this->impl->mutex);
  return acc::count(this->impl->totals);
}

std::string Histogram::Render(std::string_view name, std::string_view labels) const {
  const std::scoped_lock lock(this->impl->mutex);
  const std::string prefix = labels.empty() ? "" : std::string(labels) + ",";
  const std::string braces = labels.empty() ? "" : "{" + std::string(labels) + "}";
  std::ostringstream out;
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < kBounds.size(); ++i) {
    cumulative += this->impl->buckets[i];
    out << name << "_bucket{" << prefix << "le=\"" << kBounds[i] << "\"} " << cumulative << '\n';
  }
  const auto count = acc::count(this->impl->totals);
  out << name << "_bucket{" << prefix << "le=\"+Inf\"} " << count << '\n';
  out << name << "_sum" << braces << ' ' << acc::sum(this->impl->totals) << '\n';
  out << name << "_count" << braces << ' ' << count << '\n';
  return out.str();
}

}  // namespace savory
