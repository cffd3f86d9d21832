/// Interpretation of a release controller's response to a vote.
#pragma once
#include "http/status.h"
#include "policy/request.h"

namespace robinhoist::proxy {

/// The outcome of a vote for the HTTP status of its response.
inline Outcome vote_outcome(int status) {
  switch (status) {
    case http::status_ok:
      return Outcome::ok;
    case http::status_conflict:
      return Outcome::obsolete;
    case http::status_too_many_requests:
      return Outcome::rejected;
    default:
      return Outcome::error;
  }
}

}  // namespace robinhoist::proxy
