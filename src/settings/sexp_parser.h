/// Parses settings files: S-expressions with `;` comments and "quoted" strings.
#pragma once
#include <string>

#include "settings/sexp.h"
#include "settings/validation_error.h"

namespace robinhoist::settings {

/// Returns the content of a file. Throws ValidationError when it cannot be read.
std::string read_file(const std::string& file);

/// Parses the forms of a text into one list, whose first item is an empty key. A top-level form
/// (include "other.conf") is replaced by the forms of that file; its path is relative to the
/// directory of `name`. All files read are added to `problems`. Throws ValidationError when there
/// is a syntax error, when a text is too large or nested too deeply, or when a file cannot be read.
Sexp parse_sexp_text(const std::string& text, const std::string& name, ProblemList& problems);

}  // namespace robinhoist::settings
