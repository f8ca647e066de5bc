// Translates between the messages of callers and upstreams and the relay's types. The relay knows
// no header names; an implementation for each wire format provides them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "relay/routing_rules.h"
#include "relay/upstream.h"
#include "runtime/http_call.h"
#include "runtime/http_head.h"

namespace savory {

// What the caller's headers say about a request.
struct CallerMetadata {
  std::string attempt_id;                           // chosen by the caller, anew when it retries
  std::optional<Duration> time_left = {};           // time until the caller gives up
  std::string api_key = {};                         // empty: none
  std::optional<std::uint64_t> last_event_id = {};  // resume the stream after this event
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;  // upper bound
  // Ids of the parts of the prompt that the request shares with others, bounded in number and
  // length.
  std::vector<std::string> prompt_parts = {};
};

// What a request to an upstream carries in addition to the caller's request.
struct UpstreamMetadata {
  Duration time_left = {};
  std::string upstream_id = {};  // only this start of the upstream may run the request
  std::string account = {};      // empty: none
  int priority = 5;              // 0 is the most urgent
  std::optional<std::uint64_t> last_event_id = {};
  std::size_t body_bytes = 0;
};

// What the headers of an upstream's answer say.
struct UpstreamAnswer {
  bool not_run = false;  // the upstream did not run the request and never will
  // The upstream at the address is not the intended one.
  bool misdirected = false;
  std::optional<UpstreamLoad> load = {};
  // The upstream is about to shut down and wants no further requests.
  bool leaving = false;
  // The upstream is cold for this time.
  std::optional<Duration> cold_for = {};
  // The upstream refused the request and wants no others for this time.
  std::optional<Duration> no_requests_for = {};
  // Version of the weights with which the answer begins.
  std::optional<std::uint64_t> weights_version = {};
};

class RelayCodec {
 public:
  virtual ~RelayCodec() = default;

  virtual CallerMetadata DecodeRequest(const HttpHead& head) const = 0;
  // Returns the complete request head for an upstream, including the empty line.
  virtual std::string EncodeRequest(const HttpHead& head,
                                    const UpstreamMetadata& metadata) const = 0;
  // Whether the answer belongs to the request `attempt_id`. A success that lacks what the format
  // asks of one belongs to none, whatever it names.
  virtual AnswerMatch MatchAnswer(const HttpHead& answer, std::string_view attempt_id) const = 0;
  virtual UpstreamAnswer DecodeAnswer(const HttpHead& answer) const = 0;
  // Whether callers take `status` to mean that the request has not run and never will. An answer
  // with it is passed on only if the upstream says so, too.
  virtual bool PromisesNotRun(int status) const = 0;
  // Returns the header fields of an upstream's answer that are passed to the caller, without
  // framing.
  virtual std::vector<HttpField> EncodeAnswer(const HttpHead& answer) const = 0;
  // Returns the header fields of an answer that savoryrouter generates itself.
  virtual std::vector<HttpField> EncodeLocalAnswer(std::string_view attempt_id,
                                                   std::optional<Duration> retry_after) const = 0;
};

}  // namespace savory
