/// Paginated lists of releases.
#pragma once
#include <cstdint>
#include <string>

#include "controller/api_request.h"
#include "objects/selector.h"
#include "objects/store.h"

namespace robinhoist::controller {

/// The part of a list that a request asks for.
struct ListPage {
  std::size_t max_items;
  /// The version at which the first page was read.
  std::int64_t version;
  /// The name of the last item on the previous page; empty for the first page.
  std::string after{};
};

/// Reads `limit` and `continue`. Throws ApiError if they are malformed, or if the changes since the
/// first page are no longer available, so that a watch could not resume from its version.
ListPage read_page(const ApiRequest& request, const objects::Store& store);

/// Encodes one page of the objects that match a selector as JSON.
std::string encode_list(const objects::Store& store, const objects::Selector& selector,
                        const ListPage& page, const std::string& series);

}  // namespace robinhoist::controller
