// Token buckets that pace the transfer of weights on a link.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace savory {

// Tokens are bytes. The level may become negative by one message, so that a message larger than the
// burst can still be sent; the debt delays the next one.
class TokenBucket {
 public:
  // `rate` in bytes per second, `burst` in bytes; the bucket starts empty and without debt.
  TokenBucket(double rate, double burst) : rate(rate), burst(burst) {}

  // Whether a message may be sent now.
  bool Ready(Instant now) {
    this->Refill(now);
    return this->level >= 0;
  }
  void Take(Instant now, double bytes) {
    this->Refill(now);
    this->level -= bytes;
  }
  // Returns bytes that were taken but not used.
  void Refund(double bytes) { this->level = std::min(this->burst, this->level + bytes); }
  // Limits the debt to `seconds` of the rate.
  void LimitDebt(double seconds) { this->level = std::max(this->level, -this->rate * seconds); }
  void SetRate(Instant now, double bytes_per_second) {
    this->Refill(now);
    this->rate = bytes_per_second;
  }

 private:
  void Refill(Instant now) {
    if (this->filled != Instant() && now > this->filled) {
      const double earned = this->rate * ToSeconds(now - this->filled);
      this->level = std::min(this->burst, this->level + earned);
    }
    this->filled = std::max(this->filled, now);
  }

  double rate;
  double burst;
  double level = 0;
  Instant filled = {};
};

struct LinkPacerOptions {
  double link_bytes_per_second = 0;
  double weights_share = 1;  // largest part of the link for weights
  double burst_bytes = 0;
};

// Paces one direction of a VM's link. Weights use at most their share, and at most the part of the
// link that live requests leave.
class LinkPacer {
 public:
  explicit LinkPacer(const LinkPacerOptions& options)
      : link(options.link_bytes_per_second, options.burst_bytes),
        weights(options.link_bytes_per_second * options.weights_share, options.burst_bytes) {}

  bool Ready(Instant now) {
    const bool link_ready = this->link.Ready(now);
    return this->weights.Ready(now) && link_ready;
  }
  void TakeWeights(Instant now, double bytes) {
    this->link.Take(now, bytes);
    this->weights.Take(now, bytes);
  }
  void RefundWeights(double bytes) {
    this->link.Refund(bytes);
    this->weights.Refund(bytes);
  }
  void TakeRequests(Instant now, double bytes) {
    this->link.Take(now, bytes);
    this->link.LimitDebt(kMaxRequestDebtSeconds);
  }

 private:
  // Weights resume at the latest this long after the last request byte.
  static constexpr double kMaxRequestDebtSeconds = 0.5;

  TokenBucket link;
  TokenBucket weights;
};

}  // namespace savory
