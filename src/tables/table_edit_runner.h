// Runs a TableEdit over a connection to the key-value service.
#pragma once

#include "base/error.h"
#include "runtime/kv_connection.h"
#include "tables/table_edit.h"

namespace savory {

// Sets `options.now_unix_ms` to the current time, then blocks until the edit has finished. Errors:
// see TableEdit::Finish.
Result<EditOutcome> RunTableEdit(KvConnection& kv, TableEditOptions options);

// Returns a random edit id: 24 hexadecimal digits.
std::string MakeEditId();

// Reads the current tables from the service; revision 0 if the key is absent. Errors: kUnavailable,
// kTimeout, kMalformed.
Result<wire::Tables> ReadCurrentTables(KvConnection& kv);
// Reads `revision`, from the history unless it is the current one. Errors: those of
// ReadCurrentTables(), and kNotFound.
Result<wire::Tables> ReadTablesRevision(KvConnection& kv, std::uint64_t revision);

}  // namespace savory
