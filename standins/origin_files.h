// Files of the origin stand-in: DIR/weights/NAME and DIR/manifests/DIGEST.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace savory::standins {

// An open file; readers keep the content they opened when it is replaced.
class OriginFile {
 public:
  // nullptr when there is no such regular file.
  static std::shared_ptr<OriginFile> Open(const std::string& path);
  ~OriginFile();
  OriginFile(const OriginFile&) = delete;
  OriginFile& operator=(const OriginFile&) = delete;

  std::uint64_t Size() const { return this->size; }
  // Changes with every replacement of the file; quoted, as in the header ETag.
  const std::string& ETag() const { return this->etag; }
  // Up to `size` bytes from `offset`; empty on a read error.
  std::string Read(std::uint64_t offset, std::size_t size) const;

 private:
  OriginFile() = default;

  int fd = -1;
  std::uint64_t size = 0;
  std::string etag;
};

// True when the path `name` stays inside its folder.
bool IsSafeName(const std::string& name);

// Replaces the file's content with one of the same length that differs in every block of 64 KiB.
// Returns false when the file cannot be read or written.
bool ReplaceContent(const std::string& path);

}  // namespace savory::standins
