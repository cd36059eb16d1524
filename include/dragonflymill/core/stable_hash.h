#pragma once

#include <cstdint>
#include <string_view>

namespace dragonflymill {

/// Mixes the bits of a value: a change of one input bit affects all output bits.
[[nodiscard]] constexpr auto mix_bits(std::uint64_t value) -> std::uint64_t
{
    value = (value ^ (value >> 33U)) * 0xff51afd7ed558ccdULL;
    value = (value ^ (value >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

/// 64-bit hash that is identical on every host and in every build (FNV-1a followed by `mix_bits`). Not
/// cryptographic.
[[nodiscard]] constexpr auto stable_hash(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t
{
    std::uint64_t value = 0xcbf29ce484222325ULL ^ (seed * 0x9e3779b97f4a7c15ULL);
    for (const char c : text) {
        value = (value ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    return mix_bits(value);
}

/// Score of `node` for `key` in rendezvous hashing; the node with the highest score owns the key.
[[nodiscard]] constexpr auto rendezvous_score(std::uint64_t key, std::string_view node) -> std::uint64_t
{
    return stable_hash(node, key);
}

} // namespace dragonflymill
