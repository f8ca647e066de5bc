// Lookup of routes, pools and API keys in one version of the routing rules.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "relay/routing_rules.h"

namespace savory {

// Hash that lets a string map be searched with a view.
struct TextHash {
  using is_transparent = void;  // NOLINT(readability-identifier-naming)
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>()(text);
  }
};
template <typename Value>
using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

// Immutable; shared by the requests that began under it.
class RoutingIndex {
 public:
  explicit RoutingIndex(RoutingRules given);

  std::uint64_t Version() const { return this->rules.version; }
  const RoutingRules& Rules() const { return this->rules; }

  // The route of `host` (a port is ignored) whose prefix is the longest one that begins the path of
  // `target`; nullptr when there is none. Takes one lookup for each slash of the path.
  const RouteRule* FindRoute(std::string_view host, std::string_view target) const;
  const PoolRule* FindPool(std::string_view name) const;
  // Whether every request of the pool's routes may go on at another upstream when it breaks off.
  bool AllRoutesResumable(std::string_view pool) const;
  // The account that holds `api_key`, or nullptr.
  const AccountRule* FindAccount(std::string_view api_key) const;
  bool NeedsApiKey(const RouteRule& route) const {
    return !route.auth_exempt && !this->rules.accounts.empty();
  }

 private:
  RoutingRules rules;
  TextMap<TextMap<const RouteRule*>> routes = {};  // host -> prefix -> route
  TextMap<const PoolRule*> pools = {};
  TextMap<const AccountRule*> accounts = {};  // by API key
};

using SharedRouting = std::shared_ptr<const RoutingIndex>;

}  // namespace savory
