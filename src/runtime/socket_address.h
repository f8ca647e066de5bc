// Conversion of IP:PORT for the socket calls.
#pragma once

#include <optional>
#include <string>

struct sockaddr_in;

namespace savory {

// The IPv4 address and port of `address`; nullopt when it is malformed.
std::optional<sockaddr_in> ParseSocketAddress(const std::string& address);

}  // namespace savory
