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
};

// A time in which the store answered, with no pause as long as an outage.
struct AnswerSpan {
  Instant since = {};
  Instant last = {};
};

// A process may lose its connection, or be refused, while the store answers others. So the answers
// that any process got count, and an outage is a time in which none of them got one. A process that
// learns of such answers later withdraws its judgement.
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
  Instant OutageEnd() const { return this->before ? this->answers->since : Instant(); }
  // Length of the last outage, from answer to answer; 0 if none is known.
  Duration OutageLength() const;

 private:
  OutageDetectorOptions options;
  std::optional<AnswerSpan> answers = {};
  std::optional<AnswerSpan> before = {};  // the answers before the last outage
};

}  // namespace savory
