/// Numbers and durations as they are written in settings.
#pragma once
#include <optional>
#include <string>

#include "time/time_types.h"

namespace robinhoist::settings {

/// Parses a finite number; empty when the whole word is not one.
std::optional<double> parse_number(const std::string& word);

/// Parses a number with a unit, such as 40us, 250ms, 1.5s, 2m or 1h; empty when the word is not
/// one.
std::optional<Duration> parse_duration(const std::string& word);

/// Format a number and a duration for error messages.
std::string format_number(double value);
std::string format_duration(Duration duration);

}  // namespace robinhoist::settings
