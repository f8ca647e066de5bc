// JSON of questions where a request would go, and of their answers (docs/design/explain.md).
#pragma once

#include <string>
#include <string_view>

#include "base/error.h"

namespace savory {

struct RequestExplanation;
struct RequestQuestion;

inline constexpr std::size_t kMaxQuestionBytes = 8 * 1024;
inline constexpr std::size_t kMaxDescribedUpstreams = 100;  // for each pool

// Errors: kInvalidRequest with the reason.
Result<RequestQuestion> ParseQuestion(std::string_view text);
std::string RenderQuestion(const RequestQuestion& question);

// `entry` names the one that explains. Ends with a newline.
std::string RenderExplanation(const RequestExplanation& explanation, std::string_view entry);

}  // namespace savory
