// Conversion of crash records from and to messages.
#pragma once

#include "crashes/crash_record.h"

namespace savory {

namespace wire {
class CrashNotice;
}

CrashRecord DecodeCrashNotice(const wire::CrashNotice& notice);
void EncodeCrashNotice(const CrashRecord& record, wire::CrashNotice& notice);

}  // namespace savory
