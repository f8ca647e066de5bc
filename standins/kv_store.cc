#include "standins/kv_store.h"

#include <algorithm>

namespace savory::standins {

const StoredValue* KvStore::Find(const std::string& key) const {
  const auto found = this->values.find(key);
  return found == this->values.end() ? nullptr : &found->second;
}

std::uint64_t KvStore::VersionOf(const std::string& key) const {
  const StoredValue* value = this->Find(key);
  return value == nullptr ? 0 : value->version;
}

SwapResult KvStore::CompareAndSwap(const std::string& key, std::string bytes,
                                   std::uint64_t expected) {
  const std::uint64_t current = this->VersionOf(key);
  if (current != expected) return {.written = false, .version = current};
  this->values[key] = StoredValue{.bytes = std::move(bytes), .version = current + 1};
  return {.written = true, .version = current + 1};
}

std::optional<std::uint64_t> KvStore::Acquire(const std::string& name, const std::string& holder,
                                              Duration ttl, Instant now) {
  Lease& lease = this->leases[name];
  if (lease.expires > now && lease.holder != holder) return std::nullopt;
  lease = Lease{.holder = holder, .fence = ++this->last_fence, .expires = now + ttl};
  return lease.fence;
}

bool KvStore::Renew(const std::string& name, const std::string& holder, std::uint64_t fence,
                    Duration ttl, Instant now) {
  Lease* lease = this->FindHeldLease(name, holder, fence, now);
  if (lease == nullptr) return false;
  lease->expires = now + ttl;
  return true;
}

bool KvStore::Release(const std::string& name, const std::string& holder, std::uint64_t fence,
                      Instant now) {
  Lease* lease = this->FindHeldLease(name, holder, fence, now);
  if (lease == nullptr) return false;
  lease->expires = now;
  return true;
}

std::size_t KvStore::HeldLeases(Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(this->leases.begin(), this->leases.end(),
                    [now](const auto& entry) { return entry.second.expires > now; }));
}

KvStore::Lease* KvStore::FindHeldLease(const std::string& name, const std::string& holder,
                                       std::uint64_t fence, Instant now) {
  const auto found = this->leases.find(name);
  if (found == this->leases.end()) return nullptr;
  Lease& lease = found->second;
  const bool held = lease.expires > now && lease.holder == holder && lease.fence == fence;
  return held ? &lease : nullptr;
}

}  // namespace savory::standins
