// Counters, gauges and histograms in the Prometheus text format.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace savory {

class Histogram;

// Monotonic counter. Thread-safe.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) { this->value.fetch_add(amount, std::memory_order_relaxed); }
  std::uint64_t Value() const { return this->value.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value = 0;
};

// A value that can go up and down. Thread-safe.
class Gauge {
 public:
  void Set(double amount) { this->value.store(amount, std::memory_order_relaxed); }
  double Value() const { return this->value.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value = 0;
};

// Registry of all series of one process. References to series stay valid as long as the registry.
// Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  // Returns the series `name` with `labels`, which is created at first use. `labels` is written as
  // in the text format, without braces: R"(account="kochi-7",class="chat")".
  Counter& CounterFor(std::string_view name, std::string_view labels = "");
  Gauge& GaugeFor(std::string_view name, std::string_view labels = "");
  Histogram& HistogramFor(std::string_view name, std::string_view labels = "");

  // Every series in the Prometheus text format.
  std::string Render() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// Escapes `text` for use as a label value.
std::string LabelValue(std::string_view text);

}  // namespace savory
