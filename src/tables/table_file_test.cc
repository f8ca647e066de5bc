#include "tables/table_file.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <sstream>

#include "tables/table_merge.h"

namespace savory {
namespace {

constexpr std::string_view kValid = R"(routes:
  - name: chat
    match: {path_prefix: /v1, method: POST}
    pool: llm
    limits:
      - {account: kochi, rate_per_s: 5, concurrency: 2, share: 0.5}
pools:
  - name: llm
    members: {service: seal}
    model: seal
    version: "1"
    manifest: 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
)";

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns kValid with the first `from` replaced.
std::string Edited(const std::string& from, const std::string& to) {
  std::string text(kValid);
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

// Guards against documented examples that are rejected or lose fields when they are read.
TEST(TableFileTest, ExampleFilesRoundTrip) {
  for (const std::string name : {"kayal", "al-hadid"}) {
    const auto file = ReadTableFile(SAVORY_SOURCE_DIR "/docs/examples/" + name + ".yaml");
    ASSERT_TRUE(file) << file.error().detail;
    EXPECT_EQ(file.value().tables.pools_size(), 3);
    EXPECT_EQ(file.value().tables.routes(0).limits_size(), 11);  // ten accounts and "*"
    const auto again = ParseTableFile(FormatTableFile(file.value().tables, 7), "again.yaml");
    ASSERT_TRUE(again) << again.error().detail;
    EXPECT_EQ(again.value().tables.SerializeAsString(), file.value().tables.SerializeAsString());
    EXPECT_EQ(again.value().base_revision, 7u);
  }
}

// Guards against invalid files that are accepted, and errors without file, line, row or field.
TEST(TableFileTest, EachFaultNamesFileLineRowAndField) {
  struct Case {
    std::string text;
    std::string error;
  };
  const std::vector<Case> cases = {
      {Edited("pool: llm", "pool: lmm"),
       "t.yaml:4: routes[0].pool: no pool has the name lmm (route chat)"},
      {Edited("manifest: 00", "manifest: zz"),
       "t.yaml:12: pools[0].manifest: must be 64 hexadecimal digits (pool llm)"},
      {Edited("rate_per_s: 5", "rate_per_s: -5"),
       "t.yaml:6: routes[0].limits[0].rate_per_s: must be from 0.001 to 1e+06 (route chat)"},
      {Edited("share: 0.5", "share: 1.5"),
       "t.yaml:6: routes[0].limits[0].share: must be from 0 to 1 (route chat)"},
      {Edited("{service: seal}", "{}"),
       "t.yaml:9: pools[0].members: the pool would be left empty: name a service or VMs (pool "
       "llm)"},
      {Edited("{service: seal}", "{service: seal, vms: [a]}"),
       "t.yaml:9: pools[0].members: must name either a service or VMs, not both (pool llm)"},
      {Edited("    model: seal\n", "    modle: seal\n"),
       "t.yaml:8: pools[0].model: must be set when manifest is set (pool llm)"},
      {Edited("pool: llm", "pool: llm\n    colour: red"),
       "t.yaml:5: routes[0].colour: is not a known setting (route chat)"},
      {std::string(kValid) + "  - name: llm\n    members: {service: other}\n",
       "t.yaml:13: pools[1].name: another pool has the name llm (pool llm)"},
      {std::string(kValid) + "  - name: twin\n    members: {service: seal}\n",
       "t.yaml:14: pools[1].members: the pool would be left empty: the agents of service seal "
       "belong "
       "to pool llm (pool twin)"},
      {Edited("pools:",
              "  - {name: b, match: {path_prefix: /v1, method: POST}, pool: llm}\npools:"),
       "t.yaml:7: routes[1].match: route chat has the same match (route b)"},
  };
  for (const Case& row : cases) {
    const auto file = ParseTableFile(row.text, "t.yaml");
    ASSERT_FALSE(file) << row.error;
    EXPECT_EQ(file.error().kind, ErrorKind::kInvalidTable);
    EXPECT_EQ(file.error().detail, row.error);
  }
}

// Guards against a parser that crashes on damaged files, or accepts tables that do not read back
// equal after they are written.
RC_GTEST_PROP(TableFileProperty, DamagedFilesAreRejectedOrRoundTrip, ()) {
  std::string text = *rc::gen::element(std::string(kValid),
                                       ReadText(SAVORY_SOURCE_DIR "/docs/examples/al-hadid.yaml"));
  const int mutations = *rc::gen::inRange(1, 4);
  for (int i = 0; i < mutations; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto length = *rc::gen::inRange<std::size_t>(0, 12);
    text.replace(at, length,
                 *rc::gen::container<std::string>(
                     rc::gen::element('{', '}', '[', ']', ':', ' ', '\n', '-', '0', '9', 'a', '*',
                                      '&', '"', '#', '.', '\t', '\x80')));
  }
  const auto file = ParseTableFile(text, "t.yaml");
  if (!file) {
    RC_ASSERT(file.error().detail.starts_with("t.yaml:"));
    return;
  }
  const auto again = ParseTableFile(FormatTableFile(file.value().tables, std::nullopt), "u.yaml");
  RC_ASSERT(again.has_value());
  RC_ASSERT(DiffTables(file.value().tables, again.value().tables).empty());
}

}  // namespace
}  // namespace savory
