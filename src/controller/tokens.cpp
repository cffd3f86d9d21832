#include "controller/tokens.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace robinhoist::controller {
namespace {

constexpr std::string_view scheme = "Bearer ";
constexpr const char* anonymous = "anybody";

}  // namespace

bool includes(Role role, Role required) {
  return static_cast<int>(role) >= static_cast<int>(required);
}

std::string sha256(std::string_view text) {
  constexpr const char* digits = "0123456789abcdef";
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned i = 0; i < size; ++i) {
    hex += digits[digest[i] >> 4];
    hex += digits[digest[i] & 15];
  }
  return hex;
}

std::optional<Caller> Tokens::caller(std::string_view authorization) const {
  if (tokens_.empty())
    return Caller{anonymous, Role::operate};
  if (authorization.substr(0, scheme.size()) != scheme)
    return {};
  const std::string digest = sha256(authorization.substr(scheme.size()));
  std::optional<Caller> caller;
  // Every token is compared, each in constant time, so that timing reveals nothing about them.
  for (const Token& token : tokens_)
    if (token.sha256.size() == digest.size() &&
        CRYPTO_memcmp(token.sha256.data(), digest.data(), digest.size()) == 0)
      caller = Caller{token.name, token.role};
  return caller;
}

}  // namespace robinhoist::controller
