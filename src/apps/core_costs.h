// Processor time and memory of the decision logic, measured in virtual time at planned sizes.
#pragma once

#include <nlohmann/json.hpp>

namespace savory {

// Costs of membership (against the number of members), of a request at entry and agent, of the
// state of a copy (against chunks) and of origin ranks (against members). Takes some seconds.
nlohmann::ordered_json MeasureCoreCosts();

// Processor time that this process has used, in seconds.
double ProcessCpuSeconds();

}  // namespace savory
