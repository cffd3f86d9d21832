/// Parses settings files: S-expressions with `;` comments and "quoted" texts.
#pragma once
#include <string>

#include "settings/sexp.h"
#include "settings/validation_error.h"

namespace robinhoist::settings {

/// Reads a whole file. Throws ValidationError when that fails.
std::string read_file(const std::string& file);

/// Parses the forms of a text into one list, whose first item is an empty key. A form
/// (include "other.conf") at the top is replaced by the forms of that file, whose name is relative
/// to `name`. The files are added to `problems`. Throws ValidationError on a syntax error, on too
/// large or too deeply nested text, and on a file that cannot be read.
Sexp parse_sexp_text(const std::string& text, const std::string& name, ProblemList& problems);

}  // namespace robinhoist::settings
