/// Lists of releases, in pages.
#pragma once
#include <cstdint>
#include <string>

#include "controller/api_request.h"
#include "objects/selector.h"
#include "objects/store.h"

namespace robinhoist::controller {

/// Which part of a list a request asks for.
struct ListPage {
  std::size_t max_items;
  /// The version at which the first page was read.
  std::int64_t version;
  /// The name of the last item of the page before; empty for the first page.
  std::string after{};
};

/// Reads `limit` and `continue`. Throws ApiError, also when a watch from the first page's version
/// could not tell any more what the pages have missed.
ListPage read_page(const ApiRequest& request, const objects::Store& store);

/// A page of the objects that a selector matches, as JSON.
std::string encode_list(const objects::Store& store, const objects::Selector& selector,
                        const ListPage& page, const std::string& series);

}  // namespace robinhoist::controller
