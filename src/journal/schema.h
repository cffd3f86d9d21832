/// The tables of the journal, and how older versions of them are brought up to date.
#pragma once

struct sqlite3;

namespace robinhoist::journal {

/// Checks that the database is a journal, of a known version and undamaged, and upgrades its tables
/// in one transaction. An empty database becomes a journal. Throws JournalError.
void open_schema(sqlite3* database);

}  // namespace robinhoist::journal
