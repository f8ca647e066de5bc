#include "records/outage_detector.h"

#include <algorithm>
#include <utility>

namespace savory {

void OutageDetector::AddAnswers(AnswerSpan added) {
  if (!this->answers) {
    this->answers = added;
    return;
  }
  if (this->answers->since - added.last >= this->options.min_outage) return;  // before the outage
  if (added.since - this->answers->last >= this->options.min_outage) {
    this->before = std::exchange(this->answers, added);
    return;
  }
  this->answers->since = std::min(this->answers->since, added.since);
  this->answers->last = std::max(this->answers->last, added.last);
  if (!this->before || this->OutageLength() >= this->options.min_outage) return;
  this->answers->since = std::min(this->answers->since, this->before->since);
  this->before.reset();
}

void OutageDetector::OnFailure(Instant now) {
  if (this->answers) return;
  const Instant long_ago = now - this->options.min_outage;
  this->before = this->answers = AnswerSpan{.since = long_ago, .last = long_ago};
}

Duration OutageDetector::OutageLength() const {
  return this->before ? this->answers->since - this->before->last : Duration(0);
}

}  // namespace savory
