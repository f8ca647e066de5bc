// Histogram of durations for the Prometheus text format.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace savory {

// Durations in seconds, in roughly logarithmic buckets from 100 us to 100 s, with count, sum and
// quantiles from Boost.Accumulators. Thread-safe.
class Histogram {
 public:
  Histogram();
  ~Histogram();

  // Adds one observation, in seconds.
  void Observe(double seconds);

  // Returns an estimate of the quantile 0.5, 0.95 or 0.99, in seconds; 0 for any other
  // `probability` or without observations.
  double Quantile(double probability) const;
  std::uint64_t Count() const;

  // The series in the Prometheus text format.
  std::string Render(std::string_view name, std::string_view labels) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
