#include "records/outage_detector.h"

#include <algorithm>
#include <utility>

namespace savory {

void OutageDetector::AddAnswers(AnswerSpan added) {
  if (!this->answers) {
    this->answers = added;
    return;
  }
  if (this->answers->since - added.last >= this->options.min_outage) return;  // before the pause
  if (added.since - this->answers->last >= this->options.min_outage) {
    this->before = std::exchange(this->answers, added);
    return;
  }
  this->Merge(added);
  if (!this->before) return;
  if (this->answers->since - this->before->last >= this->options.min_outage) return;
  // There was no such pause.
  if (this->before->since < this->answers->since) this->Merge(*this->before);
  this->before.reset();
}

void OutageDetector::Merge(const AnswerSpan& added) {
  // Whoever asked in vain until long after the first answer was paused or cut off itself.
  const Duration apart = added.since > this->answers->since ? added.since - this->answers->since
                                                            : this->answers->since - added.since;
  const bool same_end = apart < this->options.max_notice_spread;
  const AnswerSpan& first = added.since < this->answers->since ? added : *this->answers;
  const Instant asked_since =
      same_end ? std::min(added.asked_since, this->answers->asked_since) : first.asked_since;
  this->answers = AnswerSpan{.since = first.since,
                             .last = std::max(this->answers->last, added.last),
                             .asked_since = asked_since};
}

void OutageDetector::OnFailure(Instant now) {
  if (this->answers) return;
  const Instant long_ago = now - this->options.min_outage;
  this->before = this->answers =
      AnswerSpan{.since = long_ago, .last = long_ago, .asked_since = long_ago};
}

Duration OutageDetector::OutageLength() const {
  if (!this->before) return Duration(0);
  const Instant begin = std::max(this->before->last, this->answers->asked_since);
  return std::max(Duration(0), this->answers->since - begin);
}

}  // namespace savory
