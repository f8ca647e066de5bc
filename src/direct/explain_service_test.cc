#include "direct/explain_service.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "base/metrics.h"
#include "relay/request_explanation.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kQuestion[] = R"({"host": "h", "path": "/a/", "key": "secret"})";

class ExplainServiceTest : public ::testing::Test {
 protected:
  int Ask(std::string_view body, std::string_view method = "POST") {
    return this->service.Answer(method, body, this->now).status;
  }

  Metrics metrics;
  Instant now = Instant(std::chrono::hours(1));
  int explained = 0;
  ExplainService service{this->metrics, {.entry = "entry-1"}, [this](const RequestQuestion&) {
                           ++this->explained;
                           return RequestExplanation{.route = "r"};
                         }};
};

// Guards against operators' tools that load an entry: only some questions a second are explained.
TEST_F(ExplainServiceTest, BoundsTheQuestions) {
  for (int i = 0; i < 5; ++i) EXPECT_EQ(this->Ask(kQuestion), 200);
  for (int i = 0; i < 100; ++i) EXPECT_EQ(this->Ask(kQuestion), 429);
  EXPECT_TRUE(this->service.Answer("POST", kQuestion, this->now).retry_after.has_value());
  EXPECT_EQ(this->explained, 5);
  for (int i = 0; i < 1000; ++i) {
    this->now += milliseconds(10);
    this->Ask(kQuestion);
  }
  EXPECT_GE(this->explained, 5 + 19);
  EXPECT_LE(this->explained, 5 + 21);
  this->now += std::chrono::hours(1);
  const int before = this->explained;
  for (int i = 0; i < 100; ++i) this->Ask(kQuestion);
  EXPECT_EQ(this->explained, before + 5);
  const std::string text = this->metrics.Render();
  EXPECT_NE(text.find(R"(savory_explain_questions_total{result="answered"} )" +
                      std::to_string(this->explained)),
            std::string::npos);
}

// Guards against questions that are taken for others, and against work for malformed ones.
TEST_F(ExplainServiceTest, RefusesMalformedQuestions) {
  const std::string deep = std::string(4000, '[') + std::string(4000, ']');
  const std::vector<std::string> malformed = {
      "",
      "[]",
      deep,
      R"({"host": "h"})",
      R"({"host": "h", "path": "a"})",
      R"({"host": 1, "path": "/"})",
      R"({"host": "h", "path": "/", "prompt_tokens": -1})",
      R"({"host": "h", "path": "/", "prompt_tokens": 1e300})",
      R"({"host": "h", "path": "/", "max_upstreams": 101})",
      R"({"host": "h", "path": "/", "returned": 1})",
      R"({"host": "h", "path": "/", "time_left_ms": 4})",
      R"({"host": "h", "path": "/", "promt_tokens": 1})",
      R"({"host": "h", "path": "/)" + std::string(9000, 'a') + R"("})"};
  for (const std::string& body : malformed) {
    this->now += seconds(1);
    EXPECT_EQ(this->Ask(body), 400) << body.substr(0, 60);
  }
  EXPECT_EQ(this->Ask("", "GET"), 405);
  EXPECT_EQ(this->explained, 0);
}

// Guards against an answer that tells a key, or does not name the entry.
TEST_F(ExplainServiceTest, NamesTheEntryAndNoKey) {
  const ExplainAnswer answer = this->service.Answer("POST", kQuestion, this->now);
  EXPECT_EQ(answer.body.find("secret"), std::string::npos);
  const auto json = nlohmann::json::parse(answer.body);
  EXPECT_EQ(json["entry"], "entry-1");
  EXPECT_EQ(json["route"], "r");
}

}  // namespace
}  // namespace savory
