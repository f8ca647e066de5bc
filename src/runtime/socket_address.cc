#include "runtime/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>

#include "base/settings.h"

namespace savory {

std::optional<sockaddr_in> ParseSocketAddress(const std::string& address) {
  if (!IsAddress(address)) return std::nullopt;
  const std::size_t colon = address.rfind(':');
  std::uint16_t port = 0;
  std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
  sockaddr_in parsed = {};
  parsed.sin_family = AF_INET;
  parsed.sin_port = htons(port);
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

}  // namespace savory
