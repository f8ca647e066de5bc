// Translation between callers' and upstreams' messages and the relay's types. The relay knows no
// header names; whoever speaks a wire form provides them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "relay/routing_rules.h"
#include "relay/upstream.h"
#include "runtime/http_head.h"

namespace savory {

// What a caller says of its request.
struct CallerMetadata {
  std::string attempt_id;                           // of the caller; new for each of its tries
  std::optional<Duration> time_left = {};           // until the caller gives up
  std::string api_key = {};                         // empty: none
  std::optional<std::uint64_t> last_event_id = {};  // a stream goes on after this event
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;  // at most
};

// What an upstream is told beside the caller's request.
struct UpstreamMetadata {
  Duration time_left = {};
  std::string upstream_id = {};  // only this start of an upstream may run it
  std::string account = {};      // empty: none
  int priority = 5;              // 0 is the most urgent
  std::optional<std::uint64_t> last_event_id = {};
  std::size_t body_bytes = 0;
};

// What an upstream's answer says beside its content.
struct UpstreamAnswer {
  bool not_run = false;  // the upstream did not run the request and never will
  // It is not the upstream that was meant: another one has the address.
  bool misdirected = false;
  std::optional<UpstreamLoad> load = {};
};

class RelayCodec {
 public:
  virtual ~RelayCodec() = default;

  virtual CallerMetadata DecodeRequest(const HttpHead& head) const = 0;
  // Complete head for an upstream, with the empty line.
  virtual std::string EncodeRequest(const HttpHead& head,
                                    const UpstreamMetadata& metadata) const = 0;
  // Whether an answer belongs to the request `attempt_id`.
  virtual bool BelongsTo(const HttpHead& answer, std::string_view attempt_id) const = 0;
  virtual UpstreamAnswer DecodeAnswer(const HttpHead& answer) const = 0;
  // Fields of an upstream's answer that the caller receives, without framing.
  virtual std::vector<HttpField> EncodeAnswer(const HttpHead& answer) const = 0;
  // Fields of an answer of savoryrouter itself.
  virtual std::vector<HttpField> EncodeLocalAnswer(std::string_view attempt_id,
                                                   std::optional<Duration> retry_after) const = 0;
};

}  // namespace savory
