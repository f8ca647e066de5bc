// Encodes histories of versions for messages between entries and agents.
#pragma once

#include <google/protobuf/repeated_ptr_field.h>

#include <cstdint>
#include <span>

#include "base/time.h"

namespace savory {

class VersionHistory;
struct VersionTime;

namespace wire {
class EarlierVersion;
}

using EarlierVersions = google::protobuf::RepeatedPtrField<wire::EarlierVersion>;

// Time since `since` in milliseconds, as far as the field of a message holds it.
std::uint32_t AgeInMillis(Instant since, Instant now);
// Appends the versions before `newest`.
void AppendEarlierVersions(std::span<const VersionTime> versions, std::uint64_t newest, Instant now,
                           EarlierVersions& out);
// Returns whether `history` changed.
bool AddEarlierVersions(const EarlierVersions& versions, Instant now, VersionHistory& history);
// When the version became wanted, by the receiver's clock.
VersionTime TimeOf(const wire::EarlierVersion& version, Instant now);

}  // namespace savory
