#include "crashes/crash_notice.h"

#include <algorithm>

#include "crashes/prompt_parts.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

CrashRecord DecodeCrashNotice(const wire::CrashNotice& notice) {
  CrashRecord record{.fingerprint = DigestFromRaw(notice.fingerprint()),
                     .upstream = notice.vm(),
                     .upstream_incarnation = notice.upstream_incarnation(),
                     .hops = notice.hops(),
                     .age = std::chrono::milliseconds(notice.age_ms()),
                     .served = notice.served()};
  const auto parts =
      std::min(static_cast<std::size_t>(notice.prompt_parts_size()), kMaxPromptParts);
  for (std::size_t i = 0; i < parts; ++i) {
    const Digest part = DigestFromRaw(notice.prompt_parts(static_cast<int>(i)));
    if (!part.IsZero()) record.parts.push_back(part);
  }
  return record;
}

void EncodeCrashNotice(const CrashRecord& record, wire::CrashNotice& notice) {
  notice.set_fingerprint(std::string(record.fingerprint.View()));
  notice.set_vm(record.upstream);
  notice.set_upstream_incarnation(record.upstream_incarnation);
  notice.set_hops(record.hops);
  notice.set_age_ms(
      static_cast<std::uint32_t>(std::clamp<std::int64_t>(ToMillis(record.age), 0, UINT32_MAX)));
  notice.set_served(record.served);
  for (const Digest& part : record.parts) notice.add_prompt_parts(std::string(part.View()));
}

}  // namespace savory
