// Start-up steps that all daemons share.
#pragma once

#include <cstdint>

#include "base/log.h"
#include "base/settings.h"

namespace savory {

// Returns the current time in microseconds as the incarnation of a process, so that a later start
// on the same VM has a higher one.
std::uint64_t MakeIncarnation();

// Reads the section `log` of a settings file.
LogOptions ReadLogOptions(SettingsReader reader);

}  // namespace savory
