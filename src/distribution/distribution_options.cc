#include "distribution/distribution_driver.h"

namespace savory {
namespace {

constexpr Range kBytesPerSecond = {.low = 1e3, .high = 1e12};
constexpr Range kShare = {.low = 0.01, .high = 1.0};
constexpr Range kMemoryBytes = {.low = 0, .high = 1e15};
constexpr Range kTakeoverMs = {.low = 100, .high = 600'000};
constexpr Range kLeaseTtlMs = {.low = 2'000, .high = 600'000};

Duration ReadMillis(SettingsReader& reader, std::string_view key, Range range, Duration fallback) {
  return std::chrono::milliseconds(reader.Integer(key, range, ToMillis(fallback)));
}

}  // namespace

DistributionDriverOptions ReadDistributionOptions(SettingsReader reader) {
  DistributionDriverOptions options;
  options.engine = reader.Address("engine");
  options.origin = reader.Address("origin");
  options.origin_region = reader.Text("origin_region");
  options.link_bytes_per_second =
      reader.Number("link_bytes_per_second", kBytesPerSecond, options.link_bytes_per_second);
  options.weights_share = reader.Number("weights_share", kShare, options.weights_share);
  options.inter_region_bytes_per_second = reader.Number(
      "inter_region_bytes_per_second", kBytesPerSecond, options.inter_region_bytes_per_second);
  options.memory_bytes =
      static_cast<std::uint64_t>(reader.Number("memory_bytes", kMemoryBytes, 0.0));
  options.strategy = static_cast<SpreadStrategy>(
      reader.Choice("strategy", {"swarm", "origin-only", "tree"}, std::size_t{0}));
  options.takeover_time =
      ReadMillis(reader, "takeover_time_ms", kTakeoverMs, options.takeover_time);
  options.takeover_origin_bytes =
      ReadMillis(reader, "takeover_origin_bytes_ms", kTakeoverMs, options.takeover_origin_bytes);
  options.lease_ttl = ReadMillis(reader, "lease_ttl_ms", kLeaseTtlMs, options.lease_ttl);
  return options;
}

}  // namespace savory
