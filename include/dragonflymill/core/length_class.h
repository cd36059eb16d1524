#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace dragonflymill {

/// A count of tokens; also the unit of prefill work.
using token_count = std::int64_t;

/// Classes of requests by predicted prefill work. Each has capacity, connections and priority of its own.
enum class length_class
{
    interactive, ///< Up to 4,096 tokens of prefill: a caller waits for the first token.
    medium,      ///< Up to 32,768 tokens.
    bulk,        ///< What one engine can still hold.
    gang,        ///< Larger than one engine's memory: several engines hold it together.
};

/// Every length class, shortest first.
inline constexpr std::array<length_class, 4> all_length_classes{
    length_class::interactive, length_class::medium, length_class::bulk, length_class::gang};

/// Number of length classes.
inline constexpr std::size_t length_class_count = all_length_classes.size();

/// Largest predicted prefill of the interactive class, in tokens.
inline constexpr token_count interactive_limit = 4'096;
/// Largest predicted prefill of the medium class, in tokens.
inline constexpr token_count medium_limit = 32'768;

/// Name of a class, as it stands in metrics and logs.
[[nodiscard]] auto to_string(length_class value) -> const char*;

/// Index of a class, for arrays that have an element for each.
[[nodiscard]] constexpr auto index_of(length_class value) -> std::size_t
{
    return static_cast<std::size_t>(value);
}

/// Class of a request with `prefill` tokens not in any cache and `total` tokens to hold, where one engine
/// holds `engine_memory`.
[[nodiscard]] auto classify(token_count prefill, token_count total, token_count engine_memory)
    -> length_class;

} // namespace dragonflymill
