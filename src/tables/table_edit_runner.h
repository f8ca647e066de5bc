// Carries out a TableEdit over a connection to the key-value service.
#pragma once

#include "base/error.h"
#include "runtime/kv_connection.h"
#include "tables/table_edit.h"

namespace savory {

// Blocks until the edit has ended. Errors: see TableEdit::Finish.
Result<EditOutcome> RunTableEdit(KvConnection& kv, TableEditOptions options);

// A new edit id.
std::string MakeEditId();

// The tables as they are in the service; revision 0 when there are none. Errors: kUnavailable,
// kTimeout, kMalformed.
Result<wire::Tables> ReadCurrentTables(KvConnection& kv);
// An overwritten or the current revision. Errors: as above, and kNotFound.
Result<wire::Tables> ReadTablesRevision(KvConnection& kv, std::uint64_t revision);

}  // namespace savory
