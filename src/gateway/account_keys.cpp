#include "gateway/account_keys.h"

#include "dragonflymill/bundle/digest.h"

#include <openssl/crypto.h>

namespace dragonflymill::gateway {

auto find_account(const bundle& in_force, const std::string& token) -> const account_entry*
{
    if (token.empty()) {
        return nullptr;
    }
    const auto hash = sha256(token).hex();
    const account_entry* found = nullptr;
    for (const auto& account : in_force.accounts) {
        const bool same = account.key_sha256.size() == hash.size() &&
                          CRYPTO_memcmp(account.key_sha256.data(), hash.data(), hash.size()) == 0;
        if (same) {
            found = &account;
        }
    }
    return found;
}

} // namespace dragonflymill::gateway
