#pragma once

#include "dragonflymill/core/error.h"

#include <memory>
#include <string>
#include <string_view>

namespace dragonflymill {

/// A partner's private Ed25519 key for signing bundles.
class ed25519_private_key
{
public:
    /// Generates a random key.
    [[nodiscard]] static auto generate() -> result<ed25519_private_key>;
    /// Derives the key from a secret seed of 32 bytes.
    [[nodiscard]] static auto from_seed(std::string_view seed) -> result<ed25519_private_key>;
    /// Parses a key in PEM form (PKCS#8, not encrypted).
    [[nodiscard]] static auto from_pem(std::string_view pem) -> result<ed25519_private_key>;

    /// The key in PEM form.
    [[nodiscard]] auto pem() const -> result<std::string>;
    /// The corresponding public key, in hexadecimal.
    [[nodiscard]] auto public_key() const -> std::string;
    /// Signs `message`; returns the signature in hexadecimal.
    [[nodiscard]] auto sign(std::string_view message) const -> result<std::string>;

private:
    explicit ed25519_private_key(std::shared_ptr<void> key)
        : key_(std::move(key))
    {
    }
    std::shared_ptr<void> key_; // an EVP_PKEY; void keeps OpenSSL out of this header
};

/// Verifies `signature` over `message` with `public_key`; key and signature in hexadecimal.
[[nodiscard]] auto verify_ed25519(std::string_view public_key, std::string_view message,
                                  std::string_view signature) -> bool;

} // namespace dragonflymill
