#include "admission/admission_log.h"

#include "base/log.h"
#include "base/metrics.h"

namespace savory {

void LogAdmission(std::span<const AdmissionChange> changes, Metrics& metrics) {
  for (const AdmissionChange& change : changes) {
    metrics.GaugeFor("savory_admission_level", "pool=\"" + LabelValue(change.pool) + "\"")
        .Set(change.level);
    Log(LogLevel::kInfo, "admission_changed",
        {{"pool", change.pool},
         {"level", change.level},
         {"lacking", change.lacking ? static_cast<std::int64_t>(*change.lacking) : -1}});
  }
}

}  // namespace savory
