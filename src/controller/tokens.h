/// Who may do what: API tokens, of which only SHA-256 sums are held. Without any token everybody
/// may do everything, which is why the settings then allow no other address than loopback.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace robinhoist::controller {

/// Each may do what the one before may. `read`: get, list, watch. `proxy`: heartbeats and votes.
/// `operate`: everything.
enum class Role { read, proxy, operate };

/// Whether one role includes another.
bool may(Role role, Role required);

/// What is held of a token.
struct Token {
  /// Of the caller.
  std::string name{};
  /// Of the token's text, in lower-case hexadecimal.
  std::string sha256{};
  Role role = Role::read;
};

/// Whom a token stands for.
struct Caller {
  std::string name{};
  Role role = Role::operate;
};

/// The tokens of the settings.
class Tokens {
 public:
  explicit Tokens(std::vector<Token> tokens) : tokens_(std::move(tokens)) {}
  /// The caller that an Authorization header names; nothing when it holds no known token.
  std::optional<Caller> caller(std::string_view authorization) const;

 private:
  std::vector<Token> tokens_;
};

/// In lower-case hexadecimal.
std::string sha256(std::string_view text);

}  // namespace robinhoist::controller
