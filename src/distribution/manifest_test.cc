#include "distribution/manifest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "distribution/chunk_store.h"
#include "distribution/weights_server.h"
#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

Manifest Describe(const std::string& weights, std::uint32_t chunk_size) {
  return Manifest::Build(AsBytes(weights), chunk_size, "model");
}

SharedChunk Chunk(std::string_view text) {
  const auto bytes = AsBytes(text);
  return std::make_shared<const std::vector<std::byte>>(bytes.begin(), bytes.end());
}

void PutAll(ChunkStore& store, const Manifest& manifest, std::string_view weights) {
  for (std::uint32_t i = 0; i < manifest.ChunkCount(); ++i) {
    const ChunkRange range = manifest.RangeOf(i);
    store.Put(
        *VerifiedChunk::Verify(manifest, i, Chunk(weights.substr(range.offset, range.length))));
  }
}

// Guards against ranges that overlap, leave gaps or exceed the weights, and against a decoder that
// loses fields.
RC_GTEST_PROP(Manifest, RangesCoverTheWeights, ()) {
  const auto weights = *rc::gen::nonEmpty<std::string>();
  const auto chunk_size = *rc::gen::inRange<std::uint32_t>(1, 20);
  const Manifest manifest = Describe(weights, chunk_size);
  const auto parsed = Manifest::Parse(manifest.Content(), manifest.Id());
  RC_ASSERT(parsed.has_value());
  std::uint64_t next = 0;
  for (std::uint32_t i = 0; i < parsed.value().ChunkCount(); ++i) {
    const ChunkRange range = parsed.value().RangeOf(i);
    RC_ASSERT(range.offset == next);
    next += range.length;
    const std::string part = weights.substr(range.offset, range.length);
    RC_ASSERT(Sha256(part) == parsed.value().DigestOf(i));
  }
  RC_ASSERT(next == weights.size());
}

// Guards against accepting a manifest that was modified in transit.
RC_GTEST_PROP(Manifest, AChangedByteIsDetected, ()) {
  const Manifest manifest = Describe(*rc::gen::nonEmpty<std::string>(), 4);
  std::string content = manifest.Content();
  content[*rc::gen::inRange<std::size_t>(0, content.size())] ^= 1;
  const auto parsed = Manifest::Parse(content, manifest.Id());
  RC_ASSERT(!parsed.has_value());
  RC_ASSERT(parsed.error().kind == ErrorKind::kDigestMismatch);
}

// Guards against a crash or a huge allocation on malformed content that matches its digest.
RC_GTEST_PROP(Manifest, AnyContentIsDecodedOrRefused, ()) {
  wire::Manifest message;
  message.set_size(*rc::gen::arbitrary<std::uint64_t>());
  message.set_chunk_size(*rc::gen::arbitrary<std::uint32_t>());
  message.set_whole_digest(*rc::gen::arbitrary<std::string>());
  message.set_chunk_digests(*rc::gen::arbitrary<std::string>());
  message.set_weights_name("model");
  const std::string content =
      *rc::gen::element(message.SerializeAsString(), *rc::gen::arbitrary<std::string>());
  const auto parsed = Manifest::Parse(content, Sha256(content));
  if (!parsed) return;
  const Manifest& manifest = parsed.value();
  const ChunkRange last = manifest.RangeOf(manifest.ChunkCount() - 1);
  RC_ASSERT(last.offset + last.length == manifest.Size());
}

// Guards against accepting bytes of another length or content as a chunk.
TEST(VerifiedChunk, RefusesOtherBytes) {
  const Manifest manifest = Describe("abcdefghij", 4);
  EXPECT_TRUE(VerifiedChunk::Verify(manifest, 2, Chunk("ij")));
  EXPECT_FALSE(VerifiedChunk::Verify(manifest, 2, Chunk("ijkl")));
  EXPECT_FALSE(VerifiedChunk::Verify(manifest, 0, Chunk("abcx")));
  EXPECT_FALSE(VerifiedChunk::Verify(manifest, 3, Chunk("")));
  EXPECT_FALSE(VerifiedChunk::Verify(manifest, 0, nullptr));
}

// Guards against replacing the previous version, which a rollback needs, by one whose copy was
// abandoned.
TEST(ChunkStore, KeepsTheLastCompleteVersion) {
  const std::string first = "aaaabbbb";
  const std::string second = "ccccdddd";
  const std::string third = "eeeeffff";
  ChunkStore store(0);
  const auto one = std::make_shared<const Manifest>(Describe(first, 4));
  store.SetWanted(one);
  PutAll(store, *one, first);
  store.SetWanted(std::make_shared<const Manifest>(Describe(second, 4)));
  store.SetWanted(std::make_shared<const Manifest>(Describe(third, 4)));
  EXPECT_EQ(store.Copies().size(), 2u);
  ASSERT_NE(store.Find(one->Id()), nullptr);
  EXPECT_TRUE(store.Find(one->Id())->IsComplete());
}

// A second version follows before the copy of the first is complete, and the origin fails. Guards
// against dropping the chunks of the first one for the complete version that engines hold.
TEST(ChunkStore, KeepsACopyThatMayBeResumed) {
  const std::string first = "aaaabbbb";
  const std::string second = "ccccdddd";
  ChunkStore store(0);
  const auto one = std::make_shared<const Manifest>(Describe(first, 4));
  const auto two = std::make_shared<const Manifest>(Describe(second, 4));
  const auto three = std::make_shared<const Manifest>(Describe("eeeeffff", 4));
  store.SetWanted(one);
  PutAll(store, *one, first);
  store.SetWanted(two);
  const auto bytes = std::as_bytes(std::span(second).first(4));
  const auto chunk = VerifiedChunk::Verify(
      *two, 0, std::make_shared<const std::vector<std::byte>>(bytes.begin(), bytes.end()));
  ASSERT_TRUE(chunk.has_value());
  ASSERT_TRUE(store.Put(*chunk));
  store.SetWanted(three);
  ASSERT_NE(store.Find(two->Id()), nullptr);
  EXPECT_EQ(store.Find(two->Id())->held, 1u);
  EXPECT_NE(store.Find(one->Id()), nullptr);
  store.SetWanted(two);
  EXPECT_EQ(store.Find(two->Id())->held, 1u);
  EXPECT_EQ(store.Find(three->Id()), nullptr);
}

// Guards against exceeding the memory limit, and against dropping the wanted version because of it.
TEST(ChunkStore, DropsThePreviousVersionAboveTheLimit) {
  const std::string first = "aaaabbbb";
  const std::string second = "ccccdddd";
  ChunkStore store(12);
  const auto one = std::make_shared<const Manifest>(Describe(first, 4));
  const auto two = std::make_shared<const Manifest>(Describe(second, 4));
  store.SetWanted(one);
  PutAll(store, *one, first);
  store.SetWanted(two);
  EXPECT_NE(store.Find(one->Id()), nullptr);
  PutAll(store, *two, second);
  EXPECT_EQ(store.Find(one->Id()), nullptr);
  EXPECT_TRUE(store.Find(two->Id())->IsComplete());
}

// Guards against copying chunks again that the previous version shares.
TEST(ChunkStore, ReusesSharedChunks) {
  const std::string first = "aaaabbbbcccc";
  const std::string second = "aaaaxxxxcccc";
  ChunkStore store(0);
  const auto one = std::make_shared<const Manifest>(Describe(first, 4));
  store.SetWanted(one);
  PutAll(store, *one, first);
  const auto two = std::make_shared<const Manifest>(Describe(second, 4));
  store.SetWanted(two);
  EXPECT_EQ(store.Find(two->Id())->held, 2u);
  EXPECT_FALSE(store.Find(two->Id())->Holds(1));
}

// Guards against serving incomplete weights to the engine.
TEST(WeightsServer, ServesOnlyCompleteVersions) {
  const std::string weights = "aaaabbbbcc";
  ChunkStore store(0);
  WeightsServer server;
  const auto manifest = std::make_shared<const Manifest>(Describe(weights, 4));
  HttpRequest request;
  request.path = "/weights/" + manifest->Id().Hex();
  store.SetWanted(manifest);
  store.Put(*VerifiedChunk::Verify(*manifest, 0, Chunk("aaaa")));
  server.Publish(store.Copies());
  EXPECT_EQ(server.ServeWeights(request).status, 404);
  PutAll(store, *manifest, weights);
  server.Publish(store.Copies());
  const HttpReply reply = server.ServeWeights(request);
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.stream_length, weights.size());
  std::string sent;
  EXPECT_TRUE(reply.stream([&sent](std::span<const std::byte> part) {
    sent += AsText(part);
    return true;
  }));
  EXPECT_EQ(sent, weights);
  request.path += "/manifest";
  EXPECT_EQ(server.ServeManifest(request).body, manifest->Content());
}

}  // namespace
}  // namespace savory
