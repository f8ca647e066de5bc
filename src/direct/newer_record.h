// Tells from what two records of one key say which is newer.
#pragma once

namespace savory {

class RecordCodec;
struct Record;

// Whether `listed` is newer for sure than `known`: rules and wanted weights have versions, and
// upstreams a time of their start. False also if that cannot be told.
bool IsNewerRecord(const RecordCodec& codec, const Record& known, const Record& listed);

}  // namespace savory
