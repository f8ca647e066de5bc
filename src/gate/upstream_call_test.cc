#include "gate/upstream_call.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "runtime/http_client.h"

namespace savory {
namespace {

constexpr int kPort = 26945;
constexpr char kAddress[] = "127.0.0.1:26945";

// An upstream with one connection, on which it gives each request the next answer.
class RawUpstream {
 public:
  explicit RawUpstream(std::vector<std::string> answers) {
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = {.sin_family = AF_INET,
                                 .sin_port = htons(kPort),
                                 .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)},
                                 .sin_zero = {}};
    EXPECT_EQ(bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)),
              0);
    EXPECT_EQ(listen(this->listener, 8), 0);
    this->thread = std::thread([this, answers = std::move(answers)] { this->Serve(answers); });
  }
  ~RawUpstream() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }

 private:
  void Serve(const std::vector<std::string>& answers) const {
    const int peer = accept(this->listener, nullptr, nullptr);
    if (peer < 0) return;
    std::array<char, 4096> buffer = {};
    for (const std::string& answer : answers) {
      if (read(peer, buffer.data(), buffer.size()) <= 0) break;
      (void)!write(peer, answer.data(), answer.size());
    }
    (void)!read(peer, buffer.data(), buffer.size());  // until the caller closes
    close(peer);
  }

  int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  std::thread thread;
};

// What the gate gets of one call.
struct Outcome {
  std::optional<int> status = {};
  std::size_t bytes = 0;
  std::optional<CallResult> result = {};
};

Outcome RunCall(std::unique_ptr<HttpClient>& client) {
  Outcome outcome;
  UpstreamCall call(
      std::move(client), {.method = "GET", .target = "/", .read_timeout = std::chrono::seconds(5)},
      {.on_head = [&](const HttpAnswer& head) { outcome.status = head.status; },
       .on_part = [&](const std::vector<std::byte>& part) { outcome.bytes += part.size(); },
       .on_end = [&](CallResult result) { outcome.result = result; }});
  call.Run();
  client = call.TakeClient();
  return outcome;
}

std::string Answer(const std::string& status, bool streams) {
  const std::string head = "HTTP/1.1 " + status + "\r\n";
  return streams ? head + "Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n"
                 : head + "Content-Length: 3\r\n\r\nodd";
}

// An engine in trouble wrote status 000, and its caller got it as an answer.
TEST(UpstreamCallTest, StatusOutsideTheRangeOfHttpIsNoAnswer) {
  for (const std::string status : {"000 OK", "099 X", "600 X", "999 X"}) {
    for (const bool streams : {false, true}) {
      for (const bool kept : {false, true}) {
        SCOPED_TRACE(status + (streams ? " stream" : "") + (kept ? " kept" : ""));
        std::vector<std::string> answers = {Answer(status, streams)};
        if (kept) answers.insert(answers.begin(), Answer("200 OK", false));
        RawUpstream upstream(answers);
        auto client = std::make_unique<HttpClient>(kAddress);
        if (kept) {
          EXPECT_EQ(RunCall(client).result, CallResult::kComplete);
        }
        const Outcome got = RunCall(client);
        EXPECT_EQ(got.status, std::nullopt);
        EXPECT_EQ(got.bytes, 0u);
        EXPECT_EQ(got.result, CallResult::kBroken);
        client.reset();
      }
    }
  }
}

}  // namespace
}  // namespace savory
