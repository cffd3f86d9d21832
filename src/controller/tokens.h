// Who may do what: API tokens, held as SHA-256 only. Without any token everybody may do everything,
// which is why the settings then allow no other address than loopback.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace robinhoist::controller {

// read: get, list, watch. proxy: the same, and heartbeats and votes. operate: everything.
enum class Role { read, proxy, operate };

struct Token {
  std::string name{}, sha256{};  // lower-case hex
  Role role = Role::read;
};

struct Caller {
  std::string name{};
  Role role = Role::operate;
};

class Tokens {
 public:
  explicit Tokens(std::vector<Token> tokens) : tokens_(std::move(tokens)) {}
  // Of an Authorization header; nothing when it is none that is known.
  std::optional<Caller> caller(std::string_view authorization) const;
  bool open() const { return tokens_.empty(); }

 private:
  std::vector<Token> tokens_;
};

bool may(Role has, Role needs);
std::string sha256(std::string_view text);  // lower-case hex

}  // namespace robinhoist::controller
