#include "dragonflymill/bundle/digest.h"

#include <algorithm>
#include <openssl/sha.h>

namespace dragonflymill {

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";

auto not_hex() -> error
{
    return {error_kind::invalid_input, "not bytes in hexadecimal", "write pairs of 0-9 and a-f"};
}

} // namespace

auto sha256_digest::from_hex(std::string_view text) -> result<sha256_digest>
{
    const auto raw = dragonflymill::from_hex(text);
    if (raw.has_error() || raw.value().size() != size) {
        return not_hex();
    }
    bytes_type bytes{};
    std::copy(raw.value().begin(), raw.value().end(), bytes.begin());
    return sha256_digest(bytes);
}

auto sha256_digest::hex() const -> std::string
{
    return to_hex(std::string(bytes_.begin(), bytes_.end()));
}

auto sha256(std::string_view text) -> sha256_digest
{
    sha256_digest::bytes_type bytes{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), bytes.data());
    return sha256_digest(bytes);
}

auto to_hex(std::string_view bytes) -> std::string
{
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += hex_digits[byte >> 4U];
        text += hex_digits[byte & 0xfU];
    }
    return text;
}

auto from_hex(std::string_view text) -> result<std::string>
{
    if (text.size() % 2 != 0) {
        return not_hex();
    }
    std::string bytes;
    for (std::size_t at = 0; at < text.size(); at += 2) {
        const auto high = hex_digits.find(text[at]);
        const auto low = hex_digits.find(text[at + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return not_hex();
        }
        bytes += static_cast<char>(high * 16 + low);
    }
    return bytes;
}

} // namespace dragonflymill
