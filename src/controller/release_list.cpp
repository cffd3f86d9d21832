#include "controller/release_list.h"

#include <algorithm>
#include <vector>

#include "controller/api_error.h"
#include "json/writer.h"

namespace robinhoist::controller {
namespace {

constexpr std::int64_t max_page_size = 500;

}  // namespace

ListPage read_page(const ApiRequest& request, const objects::Store& store) {
  const std::string limit = request.query("limit");
  const std::string token = request.query("continue");  // VERSION.NAME
  std::int64_t max_items = max_page_size;
  if (!limit.empty())
    max_items = std::clamp<std::int64_t>(parse_number(limit, "limit"), 1, max_page_size);
  ListPage page{static_cast<std::size_t>(max_items), store.version()};
  if (token.empty())
    return page;
  const std::size_t dot = token.find('.');
  page.version = parse_number(token.substr(0, dot), "continue");
  if (dot != std::string::npos)
    page.after = token.substr(dot + 1);
  if (store.history_after(page.version) != objects::History::available)
    throw list_expired();
  return page;
}

std::string encode_list(const objects::Store& store, const objects::Selector& selector,
                        const ListPage& page, const std::string& series) {
  std::vector<objects::SnapshotPtr> items;
  std::size_t remaining = 0;
  const auto& objects = store.objects();
  for (auto at = objects.upper_bound(page.after); at != objects.end(); ++at) {
    const objects::SnapshotPtr& object = at->second;
    if (!selector.matches(object->labels, object->fields))
      continue;
    if (items.size() < page.max_items)
      items.push_back(object);
    else
      ++remaining;
  }
  json::Writer metadata;
  metadata.begin_object();
  metadata.put("resourceVersion", std::to_string(page.version));
  metadata.put("series", series);
  if (remaining > 0) {
    metadata.put("continue", std::to_string(page.version) + "." + items.back()->name);
    metadata.put("remainingItemCount", remaining);
  }
  metadata.end_object();
  std::string body =
      "{\"kind\":\"ReleaseList\",\"apiVersion\":\"v1\",\"metadata\":" + metadata.text() +
      ",\"items\":[";
  for (std::size_t i = 0; i < items.size(); ++i)
    body += (i > 0 ? "," : "") + items[i]->full;
  return body + "]}";
}

}  // namespace robinhoist::controller
