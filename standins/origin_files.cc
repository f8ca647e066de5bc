#include "standins/origin_files.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <vector>

namespace savory::standins {
namespace {

constexpr std::size_t kBlockBytes = 1u << 16;

}  // namespace

std::shared_ptr<OriginFile> OriginFile::Open(const std::string& path) {
  const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  struct stat info = {};
  if (fd < 0 || fstat(fd, &info) != 0 || !S_ISREG(info.st_mode)) {
    if (fd >= 0) close(fd);
    return nullptr;
  }
  std::shared_ptr<OriginFile> file(new OriginFile());
  file->fd = fd;
  file->size = static_cast<std::uint64_t>(info.st_size);
  file->etag = "\"" + std::to_string(info.st_ino) + "-" + std::to_string(info.st_size) + "-" +
               std::to_string(info.st_mtim.tv_sec) + "." + std::to_string(info.st_mtim.tv_nsec) +
               "\"";
  return file;
}

OriginFile::~OriginFile() {
  if (this->fd >= 0) close(this->fd);
}

std::string OriginFile::Read(std::uint64_t offset, std::size_t size) const {
  std::string bytes(size, '\0');
  const ssize_t count = pread(this->fd, bytes.data(), size, static_cast<off_t>(offset));
  bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
  return bytes;
}

bool IsSafeName(const std::string& name) {
  return !name.empty() && name.front() != '/' && name.find("..") == std::string::npos;
}

bool ReplaceContent(const std::string& path) {
  const std::string next = path + ".next";
  {
    std::ifstream input(path, std::ios::binary);
    std::ofstream output(next, std::ios::binary);
    std::vector<char> block(kBlockBytes);
    while (input.read(block.data(), static_cast<std::streamsize>(block.size())),
           input.gcount() > 0) {
      block[0] = static_cast<char>(block[0] ^ 0x5a);
      output.write(block.data(), input.gcount());
    }
    if (!input.eof() || !output.flush()) return false;
  }
  std::error_code error;
  std::filesystem::rename(next, path, error);
  return !error;
}

}  // namespace savory::standins
