// Lookup of routes, pools and API keys in one version of the routing rules.
#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "relay/routing_rules.h"

namespace savory {

// Hash that allows lookup of string keys by std::string_view.
struct TextHash {
  using is_transparent = void;  // NOLINT(readability-identifier-naming)
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>()(text);
  }
};
template <typename Value>
using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

// Immutable. Requests keep the index that was current when they arrived.
class RoutingIndex {
 public:
  explicit RoutingIndex(RoutingRules given);

  std::uint64_t Version() const { return this->rules.version; }
  const RoutingRules& Rules() const { return this->rules; }

  // Returns the route of `host` (a port is ignored) with the longest prefix that matches the path
  // of `target`, or nullptr. Takes one lookup for each slash in the path.
  const RouteRule* FindRoute(std::string_view host, std::string_view target) const;
  const PoolRule* FindPool(std::string_view name) const;
  // Whether each route to the pool allows its requests to be retried or resumed at another upstream
  // after they broke off.
  bool AllRoutesResumable(std::string_view pool) const;
  // Returns the account that owns `api_key`, or nullptr.
  const AccountRule* FindAccount(std::string_view api_key) const;
  // Regions that are a home of some route or account, sorted.
  std::span<const std::string> HomeRegionNames() const { return this->home_regions; }
  bool NeedsApiKey(const RouteRule& route) const {
    return !route.auth_exempt && !this->rules.accounts.empty();
  }

 private:
  RoutingRules rules;
  TextMap<TextMap<const RouteRule*>> routes = {};  // host -> prefix -> route
  TextMap<const PoolRule*> pools = {};
  TextMap<const AccountRule*> accounts = {};  // by API key
  std::vector<std::string> home_regions = {};
};

using SharedRouting = std::shared_ptr<const RoutingIndex>;

}  // namespace savory
