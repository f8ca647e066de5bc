// Head of an HTTP/1.1 message.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savory {

struct HttpField {
  std::string name;
  std::string value;
};

// `method` and `target` are set in requests, `status` and `reason` in responses.
struct HttpHead {
  std::string method = {};
  std::string target = {};  // path and query
  int status = 0;
  std::string reason = {};
  std::vector<HttpField> fields = {};  // in the order of the message
  bool keep_alive = false;             // the connection may be used again after the message
};

// Whether `status` is one of HTTP, 100 to 599. An answer with another one is no answer.
bool IsHttpStatus(int status);

// Compares header names or tokens.
bool EqualsIgnoreCase(std::string_view left, std::string_view right);

// Value of the first field `name`; "" when there is none.
std::string_view FieldValue(std::span<const HttpField> fields, std::string_view name);
// As above; nullptr when there is none.
const std::string* FindField(std::span<const HttpField> fields, std::string_view name);

// True for fields that are not forwarded: hop-by-hop fields and those that frame the body.
// `connection_options` is the value of the message's Connection field, which can name more of them.
bool IsHopByHopField(std::string_view name, std::string_view connection_options);

// Whether the comma-separated `list` contains `token`, ignoring case.
bool ListHasToken(std::string_view list, std::string_view token);

// Parses `text` as a decimal number; nullopt when it is malformed or too large.
std::optional<std::uint64_t> ParseDecimal(std::string_view text);

// Appends the head of a request or response, up to and including the empty line.
void AppendRequestHead(std::string& out, std::string_view method, std::string_view target,
                       std::span<const HttpField> fields);
void AppendResponseHead(std::string& out, int status, std::span<const HttpField> fields);

}  // namespace savory
