#include "controller/api_server.h"

#include <optional>
#include <string_view>

#include "controller/api_error.h"
#include "journal/journal.h"
#include "json/reader.h"
#include "objects/selector.h"

namespace robinhoist::controller {
namespace {

constexpr double burst_seconds = 2;
constexpr std::string_view name_placeholder = "{name}";

// Matches a path against a route's pattern. Returns the name in the path, which is empty if the
// pattern has no placeholder; no value if the path does not match.
std::optional<std::string> match_path(std::string_view pattern, std::string_view path) {
  const std::size_t open = pattern.find(name_placeholder);
  if (open == std::string_view::npos)
    return path == pattern ? std::optional<std::string>("") : std::nullopt;
  const std::string_view head = pattern.substr(0, open);
  const std::string_view tail = pattern.substr(open + name_placeholder.size());
  if (path.size() <= head.size() + tail.size() || path.substr(0, head.size()) != head ||
      path.substr(path.size() - tail.size()) != tail)
    return {};
  const std::string_view name = path.substr(head.size(), path.size() - head.size() - tail.size());
  if (name.find('/') != std::string_view::npos)
    return {};
  return http::percent_decoded(name);
}

}  // namespace

ApiServer::ApiServer(net::Loop& loop, const http::ServerSettings& settings,
                     std::vector<Token> tokens, double requests_per_s)
    : loop_(loop),
      tokens_(std::move(tokens)),
      rate_limits_(requests_per_s, burst_seconds * requests_per_s),
      server_(loop, settings, [this](const http::ExchangePtr& exchange) { handle(exchange); }) {}

void ApiServer::handle(const http::ExchangePtr& exchange) {
  try {
    dispatch(exchange);
  } catch (const ApiError& error) {
    exchange->answer(to_response(error));
  } catch (const releases::RequestError& error) {
    exchange->answer(to_response(to_api_error(error)));
  } catch (const json::DecodeError& error) {
    exchange->answer(to_response(invalid_body(error.what())));
  } catch (const objects::SelectorError& error) {
    exchange->answer(to_response(invalid_selector(error.what())));
  } catch (const journal::JournalError& error) {
    exchange->answer(to_response(journal_unavailable(error.what())));
  }
}

void ApiServer::dispatch(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request;
  const std::string path(request.path());
  if (request.method == "GET" && path == "/health") {
    exchange->answer(http::text_response(200, "well\n"));
    return;
  }
  const auto caller = tokens_.caller(request.headers.get("Authorization"));
  if (!caller)
    throw unauthenticated();
  if (const auto wait = rate_limits_.try_acquire(caller->name, loop_.now())) {
    const auto whole_seconds = std::chrono::duration_cast<std::chrono::seconds>(*wait);
    throw too_many_requests("of " + caller->name, whole_seconds.count() + 1);
  }
  std::string allowed;
  for (const Route& route : routes_) {
    auto name = match_path(route.path, path);
    if (!name)
      continue;
    if (request.method != route.method) {
      allowed += (allowed.empty() ? "" : ", ") + route.method;
      continue;
    }
    if (!includes(caller->role, route.role))
      throw forbidden(caller->name + " may not do that");
    route.handle({exchange, std::move(*name), *caller});
    return;
  }
  if (allowed.empty())
    throw path_not_found();
  throw method_not_allowed(allowed);
}

}  // namespace robinhoist::controller
