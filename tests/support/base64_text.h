#pragma once

#include <openssl/evp.h>
#include <string>

namespace dragonflymill::test_support {

/// Returns bytes as padded base64 text.
inline auto base64_text(const std::string& bytes) -> std::string
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),        // NOLINT
                                       reinterpret_cast<const unsigned char*>(bytes.data()), // NOLINT
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

} // namespace dragonflymill::test_support
