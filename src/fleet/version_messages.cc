#include "fleet/version_messages.h"

#include <algorithm>

#include "fleet/version_history.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

std::uint32_t AgeInMillis(Instant since, Instant now) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ToMillis(now - since), 0, UINT32_MAX));
}

void AppendEarlierVersions(std::span<const VersionTime> versions, std::uint64_t newest, Instant now,
                           EarlierVersions& out) {
  for (const VersionTime& known : versions) {
    if (known.version >= newest) continue;
    wire::EarlierVersion& row = *out.Add();
    row.set_version(known.version);
    row.set_since_unknown(!known.since);
    if (known.since) row.set_wanted_for_ms(AgeInMillis(*known.since, now));
  }
}

bool AddEarlierVersions(const EarlierVersions& versions, Instant now, VersionHistory& history) {
  bool changed = false;
  for (const wire::EarlierVersion& row : versions) {
    changed = history.Add(TimeOf(row, now)) || changed;
  }
  return changed;
}

VersionTime TimeOf(const wire::EarlierVersion& version, Instant now) {
  VersionTime time{.version = version.version()};
  if (!version.since_unknown()) {
    time.since = now - std::chrono::milliseconds(version.wanted_for_ms());
  }
  return time;
}

}  // namespace savory
