// Where steps run: a database that can take a step's mark in the step's own transaction, and
// refuses a runner whose token is older than one that it has seen. Reached over HTTP:
//   POST /v1/steps/run   {token, mark, digest, undo, statement, transactional, table, key, batch,
//   after, lock_ms}
//        200 {result: done|more, after, last}   409 fenced   422 {why} known to have changed
//        nothing
//   POST /v1/steps/mark  {token, mark}      200 {applied, after}
//   POST /v1/query       {statement}        200 {value}
#pragma once
#include <functional>
#include <string>

#include "http/connection_pool.h"
#include "steps/core.h"

namespace robinhoist::steps {

class Target {
 public:
  // `last`: the largest key of a data step's table; 0: not told.
  struct Outcome {
    Result result;
    std::int64_t after = 0, last = 0;
    std::string why{};
  };
  using Ran = std::function<void(const Outcome&)>;
  using Looked = std::function<void(Answer, std::int64_t after, const std::string& why)>;
  Target(net::Loop& loop, const std::string& address);
  void run(const Plan& plan, const Step& step, Direction direction, std::int64_t after,
           std::int64_t token, Ran ran);
  void mark(const Plan& plan, const Step& step, std::int64_t token, Looked looked);
  void check(const Step& step, Looked looked);

 private:
  http::ConnectionPool caller_;
};

}  // namespace robinhoist::steps
