#include "dragonflymill/bundle/ed25519.h"

#include "dragonflymill/bundle/digest.h"

#include <openssl/evp.h>
#include <openssl/pem.h>

namespace dragonflymill {

namespace {

constexpr std::size_t key_bytes = 32;
constexpr std::size_t signature_bytes = 64;

using context_pointer = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;
using bio_pointer = std::unique_ptr<BIO, decltype(&BIO_free)>;

auto unsigned_bytes(std::string_view text) -> const unsigned char*
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

auto to_shared_key(EVP_PKEY* key) -> std::shared_ptr<void>
{
    return {key, [](void* pointer) { EVP_PKEY_free(static_cast<EVP_PKEY*>(pointer)); }};
}

auto key_error(std::string message) -> error
{
    return {error_kind::invalid_input, std::move(message), "make a key with `dragonflymill bundle key`"};
}

} // namespace

auto ed25519_private_key::generate() -> result<ed25519_private_key>
{
    auto* key = EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519");
    if (key == nullptr) {
        return key_error("key generation failed");
    }
    return ed25519_private_key(to_shared_key(key));
}

auto ed25519_private_key::from_seed(std::string_view seed) -> result<ed25519_private_key>
{
    auto* key = seed.size() == key_bytes ? EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr,
                                                                        unsigned_bytes(seed), seed.size())
                                         : nullptr;
    if (key == nullptr) {
        return key_error("the seed is not 32 bytes long");
    }
    return ed25519_private_key(to_shared_key(key));
}

auto ed25519_private_key::from_pem(std::string_view pem) -> result<ed25519_private_key>
{
    const bio_pointer bio(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())), &BIO_free);
    // Rejects encrypted keys instead of prompting for a passphrase on the terminal.
    const auto no_passphrase = [](char*, int, int, void*) { return -1; };
    auto* key = PEM_read_bio_PrivateKey(bio.get(), nullptr, no_passphrase, nullptr);
    if (key == nullptr || EVP_PKEY_id(key) != EVP_PKEY_ED25519) {
        EVP_PKEY_free(key);
        return key_error("not an unencrypted Ed25519 private key in PEM form");
    }
    return ed25519_private_key(to_shared_key(key));
}

auto ed25519_private_key::pem() const -> result<std::string>
{
    const bio_pointer bio(BIO_new(BIO_s_mem()), &BIO_free);
    auto* key = static_cast<EVP_PKEY*>(key_.get());
    if (PEM_write_bio_PrivateKey(bio.get(), key, nullptr, nullptr, 0, nullptr, nullptr) != 1) {
        return key_error("the key can't be encoded as PEM");
    }
    char* data = nullptr;
    const auto size = BIO_get_mem_data(bio.get(), &data);
    return std::string(data, static_cast<std::size_t>(size));
}

auto ed25519_private_key::public_key() const -> std::string
{
    std::string bytes(key_bytes, '\0');
    std::size_t size = bytes.size();
    EVP_PKEY_get_raw_public_key(static_cast<EVP_PKEY*>(key_.get()),
                                reinterpret_cast<unsigned char*>(bytes.data()), &size);
    return to_hex(bytes);
}

auto ed25519_private_key::sign(std::string_view message) const -> result<std::string>
{
    const context_pointer context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    auto* key = static_cast<EVP_PKEY*>(key_.get());
    std::string signature(signature_bytes, '\0');
    std::size_t size = signature.size();
    const bool succeeded = EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key) == 1 &&
                           EVP_DigestSign(context.get(), reinterpret_cast<unsigned char*>(signature.data()),
                                          &size, unsigned_bytes(message), message.size()) == 1;
    if (!succeeded) {
        return key_error("the key can't sign");
    }
    return to_hex(signature);
}

auto verify_ed25519(std::string_view public_key, std::string_view message, std::string_view signature) -> bool
{
    const auto key_text = from_hex(public_key);
    const auto signature_text = from_hex(signature);
    if (key_text.has_error() || signature_text.has_error() || key_text.value().size() != key_bytes ||
        signature_text.value().size() != signature_bytes) {
        return false;
    }
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(
        EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, unsigned_bytes(key_text.value()), key_bytes),
        &EVP_PKEY_free);
    const context_pointer context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    return key != nullptr && EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1 &&
           EVP_DigestVerify(context.get(), unsigned_bytes(signature_text.value()), signature_bytes,
                            unsigned_bytes(message), message.size()) == 1;
}

} // namespace dragonflymill
