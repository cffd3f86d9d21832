// Plain arithmetic that the module uses. Nothing here decides.
#pragma once
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "state.h"

namespace robinhoist {

inline double seconds(Span s) { return std::chrono::duration<double>(s).count(); }
inline double millis(Span s) { return seconds(s) * 1e3; }
inline Span from_millis(double ms) { return Span(static_cast<long long>(ms * 1e3)); }
inline double draw(std::minstd_rand& chance) { return std::uniform_real_distribution<double>(0, 1)(chance); }

// How many of these come in a second of late.
inline double pace_of(const Samples<Span>& of, Span now) {
  return of.size() == 0 ? 0 : of.size() / std::max(0.2, seconds(now - of.back(of.size() - 1)));
}

// Chance of k or more rare events where `expected` are due (Poisson).
inline double tail(double k, double expected) {
  double term = std::exp(-expected), below = 0;
  for (int i = 0; i < k; ++i) {
    below += term;
    term *= expected / (i + 1);
  }
  return std::max(0.0, 1 - below);
}

// The value below which this part of the values lies; reorders them.
inline double quantile(std::vector<double>& values, double part) {
  auto at = values.begin() + static_cast<long>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

inline std::string figures(const char* what, double a, double b) {
  char text[96];
  std::snprintf(text, sizeof text, "%s %.3g against %.3g", what, a, b);
  return text;
}

}  // namespace robinhoist
