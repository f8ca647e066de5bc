#include "runtime/http_parser.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cassert>
#include <optional>

namespace savory {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr std::size_t kFieldSeparatorBytes = 4;  // ": " and the end of the line
// The end of a chunked body, "0\r\n\r\n". Beast asserts that it gets as many bytes at once.
constexpr std::size_t kMinLastChunkBytes = 5;

// Collects the parts of a message that Beast parses.
template <bool kIsRequest>
class MessageParser : public http::basic_parser<kIsRequest> {
 public:
  HttpHead head = {};
  std::string body = {};
  std::size_t field_bytes_left = 0;  // of the head and the trailer; Beast limits single lines only
  std::uint64_t chunk_bytes_left = 0;

 private:
  void on_request_impl(http::verb, string_view method, string_view target, int,
                       error_code&) override {
    this->head.method.assign(method.data(), method.size());
    this->head.target.assign(target.data(), target.size());
  }
  void on_response_impl(int code, string_view reason, int, error_code& error) override {
    if (!IsHttpStatus(code)) {
      error = http::error::bad_status;
      return;
    }
    this->head.status = code;
    this->head.reason.assign(reason.data(), reason.size());
  }
  void on_field_impl(http::field, string_view name, string_view value, error_code& error) override {
    const std::size_t bytes = name.size() + value.size() + kFieldSeparatorBytes;
    if (bytes > this->field_bytes_left) {
      error = http::error::header_limit;
      return;
    }
    this->field_bytes_left -= bytes;
    this->head.fields.push_back({.name = std::string(name.data(), name.size()),
                                 .value = std::string(value.data(), value.size())});
  }
  void on_header_impl(error_code&) override { this->head.keep_alive = this->keep_alive(); }
  void on_body_init_impl(boost::optional<std::uint64_t> const&, error_code&) override {}
  std::size_t on_body_impl(string_view bytes, error_code&) override {
    this->body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t size, string_view, error_code&) override {
    this->chunk_bytes_left = size;
  }
  std::size_t on_chunk_body_impl(std::uint64_t left, string_view bytes, error_code&) override {
    this->chunk_bytes_left = left - bytes.size();
    this->body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_finish_impl(error_code&) override {}
};

HttpParseFailure FailureOf(const error_code& error) {
  if (error == http::error::header_limit) return HttpParseFailure::kHeaderTooLarge;
  if (error == http::error::body_limit) return HttpParseFailure::kBodyTooLarge;
  if (error == http::error::partial_message) return HttpParseFailure::kTruncated;
  return HttpParseFailure::kMalformed;
}

// Interface to the parser of a request or a response.
class Message {
 public:
  virtual ~Message() = default;
  // Returns the number of bytes consumed.
  virtual std::size_t Put(std::string_view input, error_code& error) = 0;
  virtual void PutEnd(error_code& error) = 0;
  virtual bool GotSome() const = 0;
  virtual bool HasHead() const = 0;
  virtual bool IsDone() const = 0;
  // Whether the next bytes begin a chunk or end the last one.
  virtual bool AwaitsChunk() const = 0;
  virtual void SkipBody() = 0;
  virtual HttpHead& Head() = 0;
  virtual std::string& Body() = 0;
  virtual std::size_t HeldBytes() const = 0;
};

template <bool kIsRequest>
class MessageOf : public Message {
 public:
  explicit MessageOf(const HttpLimits& limits) : max_header_bytes(limits.max_header_bytes) {
    this->parser.header_limit(limits.max_header_bytes);
    this->parser.body_limit(limits.max_body_bytes);
    this->parser.eager(true);
    this->parser.field_bytes_left = limits.max_header_bytes;
  }
  std::size_t Put(std::string_view input, error_code& error) override {
    return this->parser.put(boost::asio::const_buffer(input.data(), input.size()), error);
  }
  void PutEnd(error_code& error) override { this->parser.put_eof(error); }
  bool GotSome() const override { return this->parser.got_some(); }
  bool HasHead() const override { return this->parser.is_header_done(); }
  bool IsDone() const override { return this->parser.is_done(); }
  bool AwaitsChunk() const override {
    return this->parser.is_header_done() && this->parser.chunked() &&
           this->parser.chunk_bytes_left == 0;
  }
  void SkipBody() override { this->parser.skip(true); }
  HttpHead& Head() override { return this->parser.head; }
  std::string& Body() override { return this->parser.body; }
  std::size_t HeldBytes() const override {
    return this->parser.body.capacity() + this->parser.head.fields.capacity() * sizeof(HttpField) +
           (this->max_header_bytes - this->parser.field_bytes_left);
  }

 private:
  std::size_t max_header_bytes;
  MessageParser<kIsRequest> parser;
};

}  // namespace

struct HttpParser::Impl {
  HttpMessageKind kind;
  HttpLimits limits = {};  // of this message
  HttpLimits next_limits;
  std::unique_ptr<Message> message = {};
  std::string input = {};  // not parsed yet
  HttpParseFailure failure = HttpParseFailure::kNone;

  Impl(HttpMessageKind kind, HttpLimits limits) : kind(kind), next_limits(limits) { this->Begin(); }

  void Begin() {
    this->limits = this->next_limits;
    if (this->kind == HttpMessageKind::kRequest) {
      this->message = std::make_unique<MessageOf<true>>(this->limits);
    } else {
      this->message = std::make_unique<MessageOf<false>>(this->limits);
    }
  }

  // Parses `bytes`; returns how many were consumed.
  std::size_t Parse(std::string_view bytes) {
    std::size_t taken = 0;
    while (!this->message->IsDone() && taken < bytes.size()) {
      if (this->message->AwaitsChunk() && bytes.size() - taken < kMinLastChunkBytes) break;
      error_code error;
      const std::size_t step = this->message->Put(bytes.substr(taken), error);
      taken += step;
      if (error == http::error::need_more) {
        if (step == 0) break;
        continue;
      }
      if (error) {
        this->failure = FailureOf(error);
        break;
      }
      if (step == 0) break;
    }
    return taken;
  }

  void Feed(std::string_view bytes) {
    if (this->failure != HttpParseFailure::kNone) return;
    if (this->input.empty()) {
      const std::size_t taken = this->message->IsDone() ? 0 : this->Parse(bytes);
      this->input.assign(bytes.substr(taken));
    } else {
      this->input += bytes;
      if (!this->message->IsDone()) this->TakeParsed();
    }
    this->LimitUnparsed();
  }

  // Parses the input and frees its memory once nothing of it is left.
  void TakeParsed() {
    this->input.erase(0, this->Parse(this->input));
    if (this->input.empty()) FreeBytes(this->input);
  }

  // Beast limits neither the line before a chunk, with its extensions, nor the trailer, and needs
  // each of them as a whole.
  void LimitUnparsed() {
    if (this->failure != HttpParseFailure::kNone || this->message->IsDone()) return;
    if (this->input.size() <= this->limits.max_header_bytes) return;
    this->failure = HttpParseFailure::kHeaderTooLarge;
    this->input.clear();
  }
};

HttpParser::HttpParser(HttpMessageKind kind, HttpLimits limits)
    : impl(std::make_unique<Impl>(kind, limits)) {}
HttpParser::~HttpParser() = default;

void HttpParser::Feed(std::span<const std::byte> bytes) {
  this->impl->Feed({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

void HttpParser::FeedEnd() {
  Impl& self = *this->impl;
  if (self.failure != HttpParseFailure::kNone || self.message->IsDone()) return;
  if (!self.message->GotSome() && self.input.empty()) return;
  error_code error;
  self.message->PutEnd(error);
  if (error) self.failure = FailureOf(error);
  if (!self.message->IsDone() && self.failure == HttpParseFailure::kNone) {
    self.failure = HttpParseFailure::kTruncated;
  }
}

bool HttpParser::HasHead() const { return this->impl->message->HasHead(); }
const HttpHead& HttpParser::Head() const { return this->impl->message->Head(); }
std::string HttpParser::TakeBody() { return std::exchange(this->impl->message->Body(), {}); }
bool HttpParser::IsDone() const { return this->impl->message->IsDone(); }
HttpParseFailure HttpParser::Failure() const { return this->impl->failure; }
void HttpParser::SkipBody() { this->impl->message->SkipBody(); }

void FreeBytes(std::string& bytes) { std::string().swap(bytes); }

std::size_t HttpParser::HeldBytes() const {
  return this->impl->input.capacity() + this->impl->message->HeldBytes();
}

void HttpParser::DropInput() {
  FreeBytes(this->impl->input);
  FreeBytes(this->impl->message->Body());
}

bool HttpParser::HasInput() const {
  return !this->impl->input.empty() ||
         (!this->impl->message->IsDone() && this->impl->message->GotSome());
}

void HttpParser::SetLimits(const HttpLimits& limits) {
  this->impl->next_limits = limits;
  if (!this->IsDone() && !this->HasInput()) this->impl->Begin();
}

void HttpParser::Next(bool skip_body) {
  Impl& self = *this->impl;
  assert(self.message->IsDone());
  self.Begin();
  if (skip_body) self.message->SkipBody();
  if (!self.input.empty()) self.TakeParsed();
  self.LimitUnparsed();
}

}  // namespace savory
