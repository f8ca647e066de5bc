#include "runtime/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdlib>

namespace savory {

std::optional<sockaddr_in> ParseSocketAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  sockaddr_in parsed = {};
  parsed.sin_family = AF_INET;
  parsed.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1) {
    return std::nullopt;
  }
  return parsed;
}

}  // namespace savory
