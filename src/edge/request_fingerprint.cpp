#include "edge/request_fingerprint.h"

#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/core/units.h"

namespace dragonflymill::edge {

namespace {

/// Like `stable_hash`, with one multiplication for eight bytes: bodies may have a megabyte.
auto hash_of_body(std::string_view bytes) -> std::uint64_t
{
    constexpr std::size_t word_bytes = 8;
    std::uint64_t value = bytes.size();
    while (!bytes.empty()) {
        const std::string_view next = bytes.substr(0, word_bytes);
        std::uint64_t word = 0;
        for (const char c : next) {
            word = word << 8U | static_cast<unsigned char>(c);
        }
        value = mix_bits(value ^ word);
        bytes.remove_prefix(next.size());
    }
    return value;
}

} // namespace

auto request_fingerprint(const caller_request& request, std::string_view account, const header_names& names)
    -> std::uint64_t
{
    std::uint64_t value = hash_of_body(request.body);
    value = stable_hash(request.method, value);
    value = stable_hash(to_lower(request.value_of("host")), value);
    value = stable_hash(request.target, value);
    value = stable_hash(account, value);
    return stable_hash(request.value_of(names.prompt_parts), value);
}

} // namespace dragonflymill::edge
