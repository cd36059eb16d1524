#include "dragonflymill/once/call_digest.h"

#include <openssl/sha.h>

#include <array>
#include <string>

namespace dragonflymill {
namespace {

void append_number(std::string& text, std::uint64_t value)
{
    for (int shift = 56; shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>((value >> shift) & 0xffU));
    }
}

auto read_number(const unsigned char* bytes) -> std::uint64_t
{
    std::uint64_t value = 0;
    for (int i = 0; i < 8; ++i) {
        value = (value << 8U) | bytes[i];
    }
    return value;
}

} // namespace

auto digest_of(std::initializer_list<std::string_view> parts) -> call_digest
{
    std::string text;
    for (const std::string_view part : parts) {
        append_number(text, part.size());
        text.append(part);
    }
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return {read_number(digest.data()), read_number(digest.data() + 8)};
}

} // namespace dragonflymill
