// Shows operators for whom room is kept.
#pragma once

#include <cstdint>
#include <span>

#include "admission/admission.h"

namespace savory {

class Metrics;

// Logs each change and sets the gauge of the pool's level.
void LogAdmission(std::span<const AdmissionChange> changes, Metrics& metrics);

}  // namespace savory
