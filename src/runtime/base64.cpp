#include "runtime/base64.h"

#include <openssl/evp.h>

namespace dragonflymill::runtime {

auto decode_base64(const std::string& text) -> std::optional<std::string>
{
    std::string bytes(text.size() / 4 * 3 + 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),      // NOLINT
                                     reinterpret_cast<const unsigned char*>(text.data()), // NOLINT
                                     static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock includes the padding in the returned size.
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace dragonflymill::runtime
