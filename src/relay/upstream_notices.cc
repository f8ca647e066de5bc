#include "relay/upstream_notices.h"

#include <algorithm>

namespace savory {

UpstreamNotices::Notice* UpstreamNotices::Find(const UpstreamStart& start, Instant now) {
  const auto known = this->notices.find(start.id);
  if (known == this->notices.end()) {
    if (this->notices.size() >= this->options.max_upstreams) this->ForgetOldest();
    return &this->notices
                .emplace(std::string(start.id),
                         Notice{.started_unix_ms = start.started_unix_ms, .changed_at = now})
                .first->second;
  }
  Notice& notice = known->second;
  // No late answers come so long after the last notice: the upstream's clock was set back.
  const bool is_old = now - notice.changed_at >= this->options.leaving_lifetime;
  const bool is_spent = is_old && now >= std::max(notice.leaving_until, notice.wait_end);
  // A late answer of a start that has ended.
  if (start.started_unix_ms < notice.started_unix_ms && !is_spent) return nullptr;
  if (start.started_unix_ms != notice.started_unix_ms) {
    notice = Notice{.started_unix_ms = start.started_unix_ms};
  }
  notice.changed_at = now;
  return &notice;
}

void UpstreamNotices::ForgetOldest() {
  const auto oldest = std::min_element(
      this->notices.begin(), this->notices.end(),
      [](const auto& a, const auto& b) { return a.second.changed_at < b.second.changed_at; });
  if (oldest != this->notices.end()) this->notices.erase(oldest);
}

bool UpstreamNotices::AddLeaving(const UpstreamStart& start, Instant now) {
  Notice* notice = this->Find(start, now);
  if (notice == nullptr) return false;
  const bool was_known = now < notice->leaving_until;
  notice->leaving_until = now + this->options.leaving_lifetime;
  return !was_known;
}

bool UpstreamNotices::AddWait(const UpstreamStart& start, Duration wait, Instant now) {
  Notice* notice = this->Find(start, now);
  if (notice == nullptr) return false;
  const Instant known_end = std::max(now, notice->wait_end);
  notice->wait_end = std::max(known_end, now + wait);
  const bool was_waiting = known_end > now;
  const Duration least = was_waiting ? this->options.min_wait_change : Duration(0);
  return notice->wait_end - known_end > least;
}

const UpstreamNotices::Notice* UpstreamNotices::FindApplying(const UpstreamStart& start) const {
  const auto known = this->notices.find(start.id);
  if (known == this->notices.end()) return nullptr;
  // An earlier start is an older reading of the list: its id now names the start that is known.
  return start.started_unix_ms <= known->second.started_unix_ms ? &known->second : nullptr;
}

bool UpstreamNotices::IsLeaving(const UpstreamStart& start, Instant now) const {
  const Notice* notice = this->FindApplying(start);
  return notice != nullptr && now < notice->leaving_until;
}

Instant UpstreamNotices::WaitEnd(const UpstreamStart& start) const {
  const Notice* notice = this->FindApplying(start);
  return notice == nullptr ? Instant() : notice->wait_end;
}

bool UpstreamNotices::MayUse(const UpstreamStart& start, Instant now) const {
  const Notice* notice = this->FindApplying(start);
  return notice == nullptr || (now >= notice->leaving_until && now >= notice->wait_end);
}

}  // namespace savory
