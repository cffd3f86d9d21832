// What an umpire is told about its deployment at its start: the module's settings, part by part, and the
// names behind the indices. One piece of code decodes the operators' object, for their simulator's wire and
// for their platform alike. Nothing here decides; figures come with the input alone.
#pragma once
#include <string>
#include <vector>

#include "json/fields.h"
#include "state.h"

namespace robinhoist::params {

struct Params {
  NodeSettings nodes{};
  ExposureSettings exposure{};
  GateSettings gate{};
  TxnSettings txns{};
  std::vector<std::string> products{}, tenants{}, zones{};  // by index
  Span connect_within{}, keep_idle{};  // for a connection to come up; an idle one is closed by its node

  int product(std::string_view name) const { return index(products, name); }
  int zone(std::string_view name) const { return index(zones, name); }

 private:
  static int index(const std::vector<std::string>& among, std::string_view name);
};

// Of the object that an instance gets; BadInput names the field and what is wrong with it.
Params decode(const json::Json& object);

// One value of a load report, by the words of `load_report`; one without such a word, or that is no number
// from 0, is left out.
void put_load(Load& load, std::string_view name, double value);

}  // namespace robinhoist::params
