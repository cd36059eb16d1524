#include "dragonflymill/membership/datagram_seal.h"

#include <algorithm>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace dragonflymill {

namespace {

constexpr std::size_t max_keys = 2;

// HMAC-SHA256 truncated to 16 bytes: sufficient, since each forgery attempt costs a datagram.
auto compute_mac(const std::string& key, std::string_view content) -> std::string
{
    std::string full(EVP_MAX_MD_SIZE, '\0');
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(content.data()), content.size(),
         reinterpret_cast<unsigned char*>(full.data()), &size);
    full.resize(datagram_seal::size);
    return full;
}

} // namespace

auto datagram_seal::create(std::vector<std::string> keys) -> result<datagram_seal>
{
    const bool long_enough =
        std::all_of(keys.begin(), keys.end(), [](const auto& key) { return key.size() >= min_key_bytes; });
    if (keys.empty() || keys.size() > max_keys || !long_enough) {
        return error(error_kind::invalid_input,
                     "invalid membership keys: one or two keys of at least 16 bytes are required",
                     "set one key of at least 16 bytes, or two during key rotation");
    }
    return datagram_seal(std::move(keys));
}

auto datagram_seal::seal(std::string_view content) const -> std::string
{
    return compute_mac(keys_.front(), content) + std::string(content);
}

auto datagram_seal::open(std::string_view sealed) const -> result<std::string_view>
{
    if (sealed.size() > size) {
        const auto content = sealed.substr(size);
        for (const auto& key : keys_) {
            if (CRYPTO_memcmp(compute_mac(key, content).data(), sealed.data(), size) == 0) {
                return content;
            }
        }
    }
    return error(error_kind::unauthorized, "a datagram without a valid seal",
                 "give all processes the same membership key");
}

} // namespace dragonflymill
