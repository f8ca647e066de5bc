#include "base/settings.h"

#include <arpa/inet.h>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace savory {
namespace {

// File name and first error, shared by a reader and its sections.
struct ErrorState {
  std::string file;
  std::optional<Error> error;
};

constexpr int kMaxPort = 65535;

}  // namespace

struct SettingsReader::Impl {
  std::shared_ptr<ErrorState> error_state;
  YAML::Node node;
  std::string path;  // of this mapping, such as "listen."
  std::set<std::string, std::less<>> read_keys = {};
  std::vector<std::shared_ptr<Impl>> children = {};

  void FailAt(const YAML::Mark& mark, const std::string& field, std::string_view detail) const {
    if (this->error_state->error) return;
    const int line = mark.is_null() ? 1 : mark.line + 1;
    this->error_state->error =
        Error{.kind = ErrorKind::kInvalidSettings,
              .detail = this->error_state->file + ":" + std::to_string(line) + ": " + field + ": " +
                        std::string(detail)};
  }

  YAML::Node Find(std::string_view key) {
    this->read_keys.emplace(key);
    if (!this->node.IsMap()) return YAML::Node(YAML::NodeType::Undefined);
    const YAML::Node& const_node = this->node;
    return const_node[std::string(key)];
  }

  // Returns the scalar at `key`. Records an error if it is not a scalar, or required and missing.
  std::optional<std::string> Scalar(std::string_view key, bool required) {
    const YAML::Node found = this->Find(key);
    if (!found.IsDefined() || found.IsNull()) {
      if (required) this->FailAt(this->node.Mark(), this->path + std::string(key), "is missing");
      return std::nullopt;
    }
    if (!found.IsScalar()) {
      this->FailAt(found.Mark(), this->path + std::string(key), "must be a single value");
      return std::nullopt;
    }
    return found.Scalar();
  }

  void CheckUnknownKeys() const {
    if (!this->node.IsMap()) return;
    for (const auto& entry : this->node) {
      const std::string key = entry.first.Scalar();
      if (!this->read_keys.contains(key)) {
        this->FailAt(entry.first.Mark(), this->path + key, "is not a known setting");
      }
    }
    for (const auto& child : this->children) child->CheckUnknownKeys();
  }
};

SettingsReader::SettingsReader(std::shared_ptr<Impl> impl) : impl(std::move(impl)) {}
SettingsReader::SettingsReader(SettingsReader&&) noexcept = default;
SettingsReader& SettingsReader::operator=(SettingsReader&&) noexcept = default;
SettingsReader::~SettingsReader() = default;

Result<SettingsReader> SettingsReader::FromFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error{.kind = ErrorKind::kInvalidSettings, .detail = path + ":1: cannot be read"};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return FromText(text.str(), path);
}

Result<SettingsReader> SettingsReader::FromText(std::string_view text, std::string_view file_name) {
  auto impl = std::make_shared<Impl>();
  impl->error_state =
      std::make_shared<ErrorState>(ErrorState{.file = std::string(file_name), .error = {}});
  try {
    impl->node = YAML::Load(std::string(text));
  } catch (const YAML::Exception& exception) {
    impl->FailAt(exception.mark, "yaml", exception.msg);
    return *impl->error_state->error;
  }
  if (!impl->node.IsMap()) {
    impl->FailAt(impl->node.Mark(), "file", "must be a mapping");
    return *impl->error_state->error;
  }
  return SettingsReader(std::move(impl));
}

std::string SettingsReader::Text(std::string_view key, std::optional<std::string> fallback) {
  const auto scalar = this->impl->Scalar(key, !fallback);
  if (scalar && scalar->empty() && !fallback) this->Fail(key, "must not be empty");
  return scalar.value_or(fallback.value_or(""));
}

std::vector<std::string> SettingsReader::TextList(std::string_view key) {
  const YAML::Node found = this->impl->Find(key);
  std::vector<std::string> values;
  if (!found.IsDefined() || found.IsNull()) return values;
  if (!found.IsSequence()) {
    this->Fail(key, "must be a list");
    return values;
  }
  for (const YAML::Node& item : found) {
    if (!item.IsScalar()) {
      this->Fail(key, "must be a list of single values");
      return {};
    }
    values.push_back(item.Scalar());
  }
  return values;
}

double SettingsReader::Number(std::string_view key, Range range, std::optional<double> fallback) {
  const auto scalar = this->impl->Scalar(key, !fallback);
  if (!scalar) return fallback.value_or(range.low);
  double value = 0;
  const auto [end, code] = std::from_chars(scalar->data(), scalar->data() + scalar->size(), value);
  if (code != std::errc() || end != scalar->data() + scalar->size() || !std::isfinite(value)) {
    this->Fail(key, "must be a number");
    return range.low;
  }
  if (value < range.low || value > range.high) {
    std::ostringstream detail;
    detail << "must be from " << range.low << " to " << range.high;
    this->Fail(key, detail.str());
    return range.low;
  }
  return value;
}

std::int64_t SettingsReader::Integer(std::string_view key, Range range,
                                     std::optional<std::int64_t> fallback) {
  const double value = this->Number(
      key, range, fallback ? std::optional(static_cast<double>(*fallback)) : std::nullopt);
  if (value != std::floor(value)) this->Fail(key, "must be a whole number");
  return static_cast<std::int64_t>(value);
}

bool SettingsReader::Flag(std::string_view key, bool fallback) {
  const auto scalar = this->impl->Scalar(key, false);
  if (!scalar) return fallback;
  if (*scalar == "true") return true;
  if (*scalar == "false") return false;
  this->Fail(key, "must be true or false");
  return fallback;
}

std::size_t SettingsReader::Choice(std::string_view key, const std::vector<std::string>& choices,
                                   std::optional<std::size_t> fallback) {
  const auto scalar = this->impl->Scalar(key, !fallback);
  if (!scalar) return fallback.value_or(0);
  std::string list;
  for (std::size_t i = 0; i < choices.size(); ++i) {
    if (choices[i] == *scalar) return i;
    list += (i == 0 ? "" : ", ") + choices[i];
  }
  this->Fail(key, "must be one of " + list);
  return 0;
}

std::string SettingsReader::Address(std::string_view key, std::optional<std::string> fallback) {
  const auto scalar = this->impl->Scalar(key, !fallback);
  if (!scalar) return fallback.value_or("");
  if (!IsAddress(*scalar)) this->Fail(key, "must be IP:PORT with a numeric IP address");
  return *scalar;
}

bool SettingsReader::Has(std::string_view key) const {
  if (!this->impl->node.IsMap()) return false;
  const YAML::Node& const_node = this->impl->node;
  const YAML::Node found = const_node[std::string(key)];
  return found.IsDefined() && !found.IsNull();
}

SettingsReader SettingsReader::Section(std::string_view key) {
  const std::string path = this->impl->path + std::string(key) + ".";
  // Readers of the same section share one state, so a key that any of them reads is known.
  for (const auto& child : this->impl->children) {
    if (child->path == path) return SettingsReader(child);
  }
  const YAML::Node found = this->impl->Find(key);
  if (found.IsDefined() && !found.IsNull() && !found.IsMap()) {
    this->Fail(key, "must be a mapping");
  }
  // yaml-cpp throws on assignment to a node that was not found, so a missing section gets an empty
  // map of its own.
  const bool present = found.IsDefined() && found.IsMap();
  auto child =
      std::make_shared<Impl>(Impl{.error_state = this->impl->error_state,
                                  .node = present ? found : YAML::Node(YAML::NodeType::Map),
                                  .path = path});
  this->impl->children.push_back(child);
  return SettingsReader(std::move(child));
}

std::vector<SettingsReader> SettingsReader::Rows(std::string_view key) {
  std::vector<SettingsReader> rows;
  const YAML::Node found = this->impl->Find(key);
  if (!found.IsDefined() || found.IsNull()) return rows;
  if (!found.IsSequence()) {
    this->Fail(key, "must be a list");
    return rows;
  }
  std::size_t index = 0;
  for (const YAML::Node& item : found) {
    const std::string path =
        this->impl->path + std::string(key) + "[" + std::to_string(index) + "]";
    if (!item.IsMap()) this->impl->FailAt(item.Mark(), path, "must be a mapping");
    auto child = std::make_shared<Impl>(
        Impl{.error_state = this->impl->error_state, .node = item, .path = path + "."});
    this->impl->children.push_back(child);
    rows.push_back(SettingsReader(std::move(child)));
    ++index;
  }
  return rows;
}

void SettingsReader::Fail(std::string_view key, std::string_view detail) {
  const YAML::Node found = this->impl->Find(key);
  const YAML::Mark mark = found.IsDefined() ? found.Mark() : this->impl->node.Mark();
  this->impl->FailAt(mark, this->impl->path + std::string(key), detail);
}

Result<void> SettingsReader::Finish() {
  if (!this->impl->error_state->error) this->impl->CheckUnknownKeys();
  if (this->impl->error_state->error) return *this->impl->error_state->error;
  return success();
}

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  const std::string host(text.substr(0, colon));
  // inet_pton() would see only what precedes a zero byte.
  if (host.find('\0') != std::string::npos) return false;
  const std::string_view port_text = text.substr(colon + 1);
  in_addr parsed = {};
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) return false;
  int port = 0;
  const auto [end, code] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  return code == std::errc() && end == port_text.data() + port_text.size() && port >= 1 &&
         port <= kMaxPort;
}

}  // namespace savory
