// What every daemon does at its start.
#pragma once

#include <cstdint>

#include "base/log.h"
#include "base/settings.h"

namespace savory {

// Time of the start: a later start of the same VM has a higher incarnation.
std::uint64_t MakeIncarnation();

// The section `log` of a settings file.
LogOptions ReadLogOptions(SettingsReader reader);

}  // namespace savory
