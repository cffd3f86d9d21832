#include "controller/tokens.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace robinhoist::controller {

std::string sha256(std::string_view text) {
  unsigned char sum[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), sum, &size, EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned i = 0; i < size; ++i) {
    hex += "0123456789abcdef"[sum[i] >> 4];
    hex += "0123456789abcdef"[sum[i] & 15];
  }
  return hex;
}

std::optional<Caller> Tokens::caller(std::string_view authorization) const {
  if (open())
    return Caller{"anybody", Role::operate};
  constexpr std::string_view scheme = "Bearer ";
  if (authorization.substr(0, scheme.size()) != scheme)
    return {};
  const std::string sum = sha256(authorization.substr(scheme.size()));
  std::optional<Caller> found;
  // All are looked at, in constant time each: what does not fit must not tell by how long it took.
  for (const Token& token : tokens_)
    if (token.sha256.size() == sum.size() &&
        CRYPTO_memcmp(token.sha256.data(), sum.data(), sum.size()) == 0)
      found = Caller{token.name, token.role};
  return found;
}

bool may(Role has, Role needs) {
  return static_cast<int>(has) >= static_cast<int>(needs);
}

}  // namespace robinhoist::controller
