/// Authentication and authorization by API tokens, of which only the SHA-256 digests are stored. If
/// no tokens are configured, every client has full access; the settings then accept only a loopback
/// listen address.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace robinhoist::controller {

/// Each role includes the ones before it. `read`: get, list and watch. `proxy`: heartbeats and
/// votes. `operate`: everything.
enum class Role { read, proxy, operate };

/// Whether a role includes the permissions of `required`.
bool includes(Role role, Role required);

/// A configured token.
struct Token {
  /// The name of the client that uses the token.
  std::string name{};
  /// The digest of the token's text, in lower-case hexadecimal.
  std::string sha256{};
  Role role = Role::read;
};

/// The client that a request was authenticated as.
struct Caller {
  std::string name{};
  Role role = Role::operate;
};

/// The configured tokens.
class Tokens {
 public:
  explicit Tokens(std::vector<Token> tokens) : tokens_(std::move(tokens)) {}
  /// The caller identified by an Authorization header; no value if it has no valid token.
  std::optional<Caller> caller(std::string_view authorization) const;

 private:
  std::vector<Token> tokens_;
};

/// The SHA-256 digest of a text, in lower-case hexadecimal.
std::string sha256(std::string_view text);

}  // namespace robinhoist::controller
