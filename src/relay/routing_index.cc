#include "relay/routing_index.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace savory {
namespace {

std::string HostKey(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return key;
}

std::vector<std::string> HomeRegionsOf(const RoutingRules& rules) {
  std::set<std::string> names;
  for (const RouteRule& route : rules.routes) {
    names.insert(route.homes.Regions().begin(), route.homes.Regions().end());
  }
  for (const AccountRule& account : rules.accounts) {
    names.insert(account.homes.Regions().begin(), account.homes.Regions().end());
  }
  return {names.begin(), names.end()};
}

}  // namespace

RoutingIndex::RoutingIndex(RoutingRules given) : rules(std::move(given)) {
  for (const RouteRule& route : this->rules.routes) {
    this->routes[HostKey(route.host)].emplace(route.path_prefix, &route);
  }
  for (const PoolRule& pool : this->rules.pools) this->pools.emplace(pool.name, &pool);
  for (const AccountRule& account : this->rules.accounts) {
    for (const std::string& key : account.api_keys) this->accounts.emplace(key, &account);
  }
  this->home_regions = HomeRegionsOf(this->rules);
}

const RouteRule* RoutingIndex::FindRoute(std::string_view host, std::string_view target) const {
  const auto found = this->routes.find(HostKey(host));
  if (found == this->routes.end()) return nullptr;
  std::string_view path = target.substr(0, target.find_first_of("?#"));
  while (!path.empty()) {
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) return nullptr;
    const auto route = found->second.find(path.substr(0, slash + 1));
    if (route != found->second.end()) return route->second;
    path = path.substr(0, slash);
  }
  return nullptr;
}

const PoolRule* RoutingIndex::FindPool(std::string_view name) const {
  const auto found = this->pools.find(name);
  return found == this->pools.end() ? nullptr : found->second;
}

bool RoutingIndex::AllRoutesResumable(std::string_view pool) const {
  return std::all_of(this->rules.routes.begin(), this->rules.routes.end(), [&](const auto& route) {
    const bool to_pool = std::any_of(route.pools.begin(), route.pools.end(),
                                     [&](const PoolShare& share) { return share.pool == pool; });
    const bool may_run_again = route.kind == RequestKind::kIdempotent ||
                               (route.kind == RequestKind::kStream && route.resumable);
    return !to_pool || (may_run_again && route.max_attempts > 1);
  });
}

const AccountRule* RoutingIndex::FindAccount(std::string_view api_key) const {
  const auto found = this->accounts.find(api_key);
  return found == this->accounts.end() ? nullptr : found->second;
}

}  // namespace savory
