#include "http/exchange.h"

#include <utility>

#include "http/server_connection.h"

namespace robinhoist::http {

Exchange::Exchange(std::weak_ptr<ServerConnection> connection, Request request,
                   TimePoint received_at, bool first_on_connection)
    : request(std::move(request)),
      received_at(received_at),
      first_on_connection(first_on_connection),
      connection_(std::move(connection)) {}

Exchange::~Exchange() {
  if (!answered_)
    answer(text_response(500, "the request got lost inside\n"));
}

void Exchange::answer(Response response) {
  if (answered_)
    return;
  answered_ = true;
  if (const auto connection = connection_.lock())
    connection->answer(std::move(response));
}

void Exchange::abort_connection() {
  if (answered_ && !streaming_)
    return;
  answered_ = true;
  if (const auto connection = connection_.lock())
    connection->close(true);
}

void Exchange::abandon() {
  answered_ = true;
  streaming_ = false;
  if (on_disconnect)
    on_disconnect();
}

void Exchange::begin_stream(const Response& head) {
  if (answered_)
    return;
  answered_ = true;
  streaming_ = true;
  if (const auto connection = connection_.lock())
    connection->begin_stream(head);
}

bool Exchange::write(std::string_view bytes) {
  const auto connection = connection_.lock();
  return connection && connection->write_chunk(bytes);
}

void Exchange::end(std::string_view last_bytes) {
  if (!streaming_)
    return;
  streaming_ = false;
  if (const auto connection = connection_.lock())
    connection->end_stream(last_bytes);
}

bool Exchange::client_closed() const {
  const auto connection = connection_.lock();
  return !connection || connection->client_closed();
}

std::size_t Exchange::unwritten() const {
  const auto connection = connection_.lock();
  return connection ? connection->unwritten() : 0;
}

}  // namespace robinhoist::http
