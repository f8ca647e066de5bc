#include "apps/ctl_manifest.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/digest.h"
#include "base/sha256_hasher.h"
#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

constexpr std::uint32_t kMinChunkBytes = 1 << 10;
constexpr std::uint32_t kMaxChunkBytes = 64 << 20;

Error InputError(std::string detail) {
  return Error{.kind = ErrorKind::kInvalidSettings, .detail = std::move(detail)};
}

Result<wire::Manifest> ReadManifest(const CtlOptions& options) {
  std::ifstream file(options.arguments[0], std::ios::binary);
  if (!file) return InputError(options.arguments[0] + ": cannot be read");
  wire::Manifest manifest;
  manifest.set_chunk_size(options.chunk_size);
  manifest.set_weights_name(options.name);
  Sha256Hasher whole;
  std::string digests;
  std::vector<char> buffer(options.chunk_size);
  std::uint64_t size = 0;
  while (file) {
    file.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
    const auto length = static_cast<std::size_t>(file.gcount());
    if (length == 0) break;
    const std::span chunk = AsBytes(std::string_view(buffer.data(), length));
    whole.Update(chunk);
    digests += Sha256(chunk).View();
    size += length;
  }
  if (file.bad()) return InputError(options.arguments[0] + ": cannot be read");
  if (size == 0) return InputError(options.arguments[0] + ": is empty");
  manifest.set_size(size);
  manifest.set_whole_digest(std::string(whole.Finish().View()));
  manifest.set_chunk_digests(std::move(digests));
  return manifest;
}

}  // namespace

Result<void> RunManifest(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 1, 1));
  if (options.name.empty()) return InputError("manifest: the option --name is required");
  if (options.out.empty()) return InputError("manifest: the option --out is required");
  if (options.chunk_size < kMinChunkBytes || options.chunk_size > kMaxChunkBytes) {
    return InputError("--chunk-size must be from 1024 to 67108864 bytes");
  }
  BOOST_OUTCOME_TRY(manifest, ReadManifest(options));
  const std::string content = manifest.SerializeAsString();
  std::ofstream out(options.out, std::ios::binary | std::ios::trunc);
  out << content;
  out.close();
  if (!out) return InputError(options.out + ": cannot be written");
  const std::string digest = Sha256(content).Hex();
  if (options.json) {
    const nlohmann::ordered_json json = {{"manifest", digest},
                                         {"size", manifest.size()},
                                         {"chunk_size", manifest.chunk_size()},
                                         {"weights_name", manifest.weights_name()}};
    std::cout << json.dump() << '\n';
  } else {
    std::cout << digest << '\n';
  }
  return success();
}

}  // namespace savory
