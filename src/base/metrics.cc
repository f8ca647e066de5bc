#include "base/metrics.h"

#include <functional>
#include <map>
#include <mutex>
#include <sstream>

#include "base/histogram.h"

namespace savory {
namespace {

// Series of one type: name -> labels -> series. std::map gives the output a stable order.
template <typename Series>
using Family = std::map<std::string, std::map<std::string, Series, std::less<>>, std::less<>>;

template <typename Series>
Series& Find(Family<Series>& family, std::string_view name, std::string_view labels) {
  return family[std::string(name)][std::string(labels)];
}

template <typename Series>
void RenderValues(std::ostream& out, std::string_view type, const Family<Series>& family) {
  for (const auto& [name, rows] : family) {
    out << "# TYPE " << name << ' ' << type << '\n';
    for (const auto& [labels, series] : rows) {
      out << name;
      if (!labels.empty()) out << '{' << labels << '}';
      out << ' ' << series.Value() << '\n';
    }
  }
}

}  // namespace

struct Metrics::Impl {
  mutable std::mutex mutex;
  Family<Counter> counters;
  Family<Gauge> gauges;
  Family<Histogram> histograms;
};

Metrics::Metrics() : impl(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

Counter& Metrics::CounterFor(std::string_view name, std::string_view labels) {
  const std::scoped_lock lock(this->impl->mutex);
  return Find(this->impl->counters, name, labels);
}

Gauge& Metrics::GaugeFor(std::string_view name, std::string_view labels) {
  const std::scoped_lock lock(this->impl->mutex);
  return Find(this->impl->gauges, name, labels);
}

Histogram& Metrics::HistogramFor(std::string_view name, std::string_view labels) {
  const std::scoped_lock lock(this->impl->mutex);
  return Find(this->impl->histograms, name, labels);
}

std::string Metrics::Render() const {
  const std::scoped_lock lock(this->impl->mutex);
  std::ostringstream out;
  RenderValues(out, "counter", this->impl->counters);
  RenderValues(out, "gauge", this->impl->gauges);
  for (const auto& [name, rows] : this->impl->histograms) {
    out << "# TYPE " << name << " histogram\n";
    for (const auto& [labels, series] : rows) out << series.Render(name, labels);
  }
  return out.str();
}

std::string LabelValue(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '"' || c == '\\') escaped += '\\';
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

}  // namespace savory
