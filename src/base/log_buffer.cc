#include "base/log_buffer.h"

#include <poll.h>
#include <unistd.h>

namespace savory {

void LogBuffer::Add(std::string_view line) {
  const std::scoped_lock lock(this->mutex);
  if (this->lines.size() + line.size() + 1 > this->max_bytes) {
    ++this->dropped;
    ++this->dropped_unreported;
    return;
  }
  this->lines += line;
  this->lines += '\n';
}

void LogBuffer::CountSkipped() {
  const std::scoped_lock lock(this->mutex);
  ++this->skipped_unreported;
}

void LogBuffer::AddCounts() {
  if (this->dropped_unreported == 0 && this->skipped_unreported == 0) return;
  this->lines += "event=log_lines_left_out dropped=" + std::to_string(this->dropped_unreported) +
                 " sampled_out=" + std::to_string(this->skipped_unreported) + '\n';
  this->dropped_unreported = 0;
  this->skipped_unreported = 0;
}

void LogBuffer::WriteTo(int descriptor) {
  const std::scoped_lock lock(this->mutex);
  if (this->lines.size() < this->max_bytes / 2) this->AddCounts();
  if (this->lines.empty()) return;
  const ssize_t written = write(descriptor, this->lines.data(), this->lines.size());
  if (written > 0) this->lines.erase(0, static_cast<std::size_t>(written));
}

bool LogBuffer::WriteAllTo(int descriptor, Duration limit) {
  const Instant end = MonotonicClock::now() + limit;
  this->WriteTo(descriptor);
  while (this->Bytes() > 0) {
    const auto left_ms = static_cast<int>(ToMillis(end - MonotonicClock::now()));
    pollfd writable = {.fd = descriptor, .events = POLLOUT, .revents = 0};
    if (left_ms <= 0 || poll(&writable, 1, left_ms) <= 0) return false;
    if ((writable.revents & POLLOUT) == 0) return false;
    this->WriteTo(descriptor);
  }
  return true;
}

std::size_t LogBuffer::Bytes() const {
  const std::scoped_lock lock(this->mutex);
  return this->lines.size();
}

std::uint64_t LogBuffer::Dropped() const {
  const std::scoped_lock lock(this->mutex);
  return this->dropped;
}

}  // namespace savory
