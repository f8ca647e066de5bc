#include "runtime/http_head.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace savory {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopFields = {
    "connection", "keep-alive",        "proxy-connection", "te", "trailer", "upgrade",
    "expect",     "transfer-encoding", "content-length"};

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

void AppendFields(std::string& out, std::span<const HttpField> fields) {
  for (const HttpField& field : fields) {
    out += field.name;
    out += ": ";
    out += field.value;
    out += "\r\n";
  }
  out += "\r\n";
}

}  // namespace

bool IsHttpStatus(int status) { return status >= 100 && status <= 599; }

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

const std::string* FindField(std::span<const HttpField> fields, std::string_view name) {
  for (const HttpField& field : fields) {
    if (EqualsIgnoreCase(field.name, name)) return &field.value;
  }
  return nullptr;
}

std::string_view FieldValue(std::span<const HttpField> fields, std::string_view name) {
  const std::string* value = FindField(fields, name);
  return value == nullptr ? std::string_view() : *value;
}

bool ListHasToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    if (EqualsIgnoreCase(Trim(list.substr(0, comma)), token)) return true;
    if (comma == std::string_view::npos) return false;
    list.remove_prefix(comma + 1);
  }
  return false;
}

bool IsHopByHopField(std::string_view name, std::string_view connection_options) {
  for (const std::string_view known : kHopByHopFields) {
    if (EqualsIgnoreCase(name, known)) return true;
  }
  return !connection_options.empty() && ListHasToken(connection_options, name);
}

std::optional<std::uint64_t> ParseDecimal(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return number;
}

void AppendRequestHead(std::string& out, std::string_view method, std::string_view target,
                       std::span<const HttpField> fields) {
  out += method;
  out += ' ';
  out += target;
  out += " HTTP/1.1\r\n";
  AppendFields(out, fields);
}

void AppendResponseHead(std::string& out, int status, std::span<const HttpField> fields) {
  out += "HTTP/1.1 ";
  out += std::to_string(status);
  out += ' ';
  out += ReasonPhrase(status);
  out += "\r\n";
  AppendFields(out, fields);
}

}  // namespace savory
