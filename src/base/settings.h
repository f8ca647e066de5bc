// Reading and validation of YAML settings.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace savory {

// Inclusive range of a number.
struct Range {
  double low;
  double high;
};

// Reads one YAML mapping and records the first error, with its file, line and field. After all
// fields have been read, Finish() returns that error, or an error for a key that was not read.
class SettingsReader {
 public:
  // Errors: kInvalidSettings if the file cannot be read, is not YAML or is not a mapping.
  static Result<SettingsReader> FromFile(const std::string& path);
  static Result<SettingsReader> FromText(std::string_view text, std::string_view file_name);

  SettingsReader(SettingsReader&&) noexcept;
  SettingsReader& operator=(SettingsReader&&) noexcept;
  ~SettingsReader();

  // A key without `fallback` is required. After an error the returned value is a placeholder, such
  // as an empty text or the low end of the range.
  std::string Text(std::string_view key, std::optional<std::string> fallback = std::nullopt);
  std::vector<std::string> TextList(std::string_view key);
  double Number(std::string_view key, Range range, std::optional<double> fallback = std::nullopt);
  std::int64_t Integer(std::string_view key, Range range,
                       std::optional<std::int64_t> fallback = std::nullopt);
  bool Flag(std::string_view key, bool fallback);
  // Returns the index of the value in `choices`.
  std::size_t Choice(std::string_view key, const std::vector<std::string>& choices,
                     std::optional<std::size_t> fallback = std::nullopt);
  // IP:PORT with a numeric IP address.
  std::string Address(std::string_view key, std::optional<std::string> fallback = std::nullopt);

  bool Has(std::string_view key) const;
  // Returns a reader for the mapping at `key`, or for an empty mapping if the key is missing. The
  // reader shares the error state of this one.
  SettingsReader Section(std::string_view key);
  // Returns readers for the mappings in the sequence at `key`; none if the key is missing.
  std::vector<SettingsReader> Rows(std::string_view key);

  // Records an error at `key`, unless an error has been recorded before.
  void Fail(std::string_view key, std::string_view detail);
  // Errors: kInvalidSettings, "FILE:LINE: FIELD: reason".
  Result<void> Finish();

 private:
  struct Impl;
  explicit SettingsReader(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl;
};

// True if `text` is IP:PORT with a numeric IPv4 address and a port from 1 to 65535.
bool IsAddress(std::string_view text);

}  // namespace savory
