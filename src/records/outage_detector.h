// Judges from the store's answers whether the store was away, or only a process's way to it.
#pragma once

#include <optional>

#include "base/time.h"

namespace savory {

struct OutageDetectorOptions {
  // A pause between two answers counts as an outage of the store from this length on. At report
  // intervals of 0.75 s and more, no record expires in a shorter one: that takes two missed
  // reports. A watch that is answered takes 1 s at most, pause included, and one that is reset 0.1
  // s more.
  Duration min_outage = std::chrono::milliseconds(1500);
  // Processes notice the end of an outage within this time of each other: with their next call.
  Duration max_notice_spread = std::chrono::milliseconds(1300);
};

// A time in which the store answered, with no pause as long as an outage.
struct AnswerSpan {
  Instant since = {};
  Instant last = {};
  // A process asked the store from then until `since` and got no answer. The epoch: as long as no
  // answer is known.
  Instant asked_since = {};
};

// A process may lose its connection, or be refused, while the store answers others. So the answers
// that any process got count, and an outage is a time in which none of them got one although some
// process asked: when the processes that watch the store on behalf of all are lost, there are no
// answers either. A process that learns of answers later withdraws its judgement.
class OutageDetector {
 public:
  explicit OutageDetector(OutageDetectorOptions options = {}) : options(options) {}

  // The store answered this process (`since` and `last` are the time of the answer), or a peer.
  void AddAnswers(AnswerSpan answers);
  // A call of this process failed. Before the first answer the store counts as away since long.
  void OnFailure(Instant now);

  // Nullopt before the first answer.
  std::optional<AnswerSpan> Answers() const { return this->answers; }
  // End of the last outage; the epoch if none is known.
  Instant OutageEnd() const {
    return this->OutageLength() >= this->options.min_outage ? this->answers->since : Instant();
  }
  // How long the store gave no answer although it was asked, before the answers; 0 if that is not
  // known. Shorter times than the least one are no outage.
  Duration OutageLength() const;

 private:
  void Merge(const AnswerSpan& added);

  OutageDetectorOptions options;
  std::optional<AnswerSpan> answers = {};
  std::optional<AnswerSpan> before = {};  // the answers before the last pause as long as an outage
};

}  // namespace savory
