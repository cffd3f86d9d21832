/// The tables of the journal, and the upgrade from older versions.
#pragma once

struct sqlite3;

namespace robinhoist::journal {

/// Checks that the database is an undamaged journal of a supported version, and upgrades its tables
/// in one transaction. Creates the tables in an empty database. Throws JournalError.
void open_schema(sqlite3* database);

}  // namespace robinhoist::journal
