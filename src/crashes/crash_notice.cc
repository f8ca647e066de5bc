#include "crashes/crash_notice.h"

#include <algorithm>

#include "wire/savoryrouter.pb.h"

namespace savory {

CrashRecord DecodeCrashNotice(const wire::CrashNotice& notice) {
  return {.fingerprint = DigestFromRaw(notice.fingerprint()),
          .upstream = notice.vm(),
          .upstream_incarnation = notice.upstream_incarnation(),
          .hops = notice.hops(),
          .age = std::chrono::milliseconds(notice.age_ms()),
          .served = notice.served()};
}

void EncodeCrashNotice(const CrashRecord& record, wire::CrashNotice& notice) {
  notice.set_fingerprint(std::string(record.fingerprint.View()));
  notice.set_vm(record.upstream);
  notice.set_upstream_incarnation(record.upstream_incarnation);
  notice.set_hops(record.hops);
  notice.set_age_ms(
      static_cast<std::uint32_t>(std::clamp<std::int64_t>(ToMillis(record.age), 0, UINT32_MAX)));
  notice.set_served(record.served);
}

}  // namespace savory
