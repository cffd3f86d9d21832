// Which objects somebody wants: requirements on labels and fields, as Kubernetes writes them:
// `team=front,tier!=test,zone in (a,b),zone notin (c),canary,!old`, and for fields
// `status.phase=canary`.
#pragma once
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace robinhoist::objects {

using Fields = std::map<std::string, std::string>;

// Where a selector makes no sense, in words.
struct BadSelector : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Selector {
 public:
  Selector() = default;  // takes all
  Selector(std::string_view labels, std::string_view fields);
  bool takes(const Fields& labels, const Fields& fields) const;

 private:
  enum class Op { in, not_in, there, not_there };
  struct Need {
    std::string key{};
    Op op = Op::there;
    std::vector<std::string> values{};
  };
  static std::vector<Need> parse(std::string_view text);
  static bool met(const Need& need, const Fields& of);
  std::vector<Need> labels_{}, fields_{};
};

// Words that may stand in labels: at most 63 of [A-Za-z0-9._-], and a name may have a prefix before
// a slash.
bool label_name(std::string_view text);
bool label_value(std::string_view text);
// Of objects: at most 63 of [a-z0-9-], no dash at either end.
bool object_name(std::string_view text);

}  // namespace robinhoist::objects
