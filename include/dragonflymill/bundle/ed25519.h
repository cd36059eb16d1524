#pragma once

#include "dragonflymill/core/error.h"

#include <memory>
#include <string>
#include <string_view>

namespace dragonflymill {

/// A private Ed25519 key, with which a partner signs bundles.
class ed25519_private_key
{
public:
    /// A new random key.
    [[nodiscard]] static auto generate() -> result<ed25519_private_key>;
    /// The key that belongs to 32 secret bytes.
    [[nodiscard]] static auto from_seed(std::string_view seed) -> result<ed25519_private_key>;
    /// Reads a key in PEM form (PKCS#8, not encrypted).
    [[nodiscard]] static auto from_pem(std::string_view pem) -> result<ed25519_private_key>;

    /// The key in PEM form.
    [[nodiscard]] auto pem() const -> result<std::string>;
    /// The public key that belongs to it, in hexadecimal.
    [[nodiscard]] auto public_key() const -> std::string;
    /// Signature of `message`, in hexadecimal.
    [[nodiscard]] auto sign(std::string_view message) const -> result<std::string>;

private:
    explicit ed25519_private_key(std::shared_ptr<void> key)
        : key_(std::move(key))
    {
    }
    std::shared_ptr<void> key_; // an EVP_PKEY; its type stays out of the public header
};

/// Whether `signature` over `message` was made with the private key of `public_key`; both in hexadecimal.
[[nodiscard]] auto verify_ed25519(std::string_view public_key, std::string_view message,
                                  std::string_view signature) -> bool;

} // namespace dragonflymill
