#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace dragonflymill {

/// Number of tokens; also the unit of prefill work.
using token_count = std::int64_t;

/// Request classes by predicted prefill work. Each has its own capacity, connections and priority.
enum class length_class
{
    interactive, ///< Up to 4,096 tokens of prefill; sensitive to time to first token.
    medium,      ///< Up to 32,768 tokens of prefill.
    bulk,        ///< Larger prefill, but the request fits into the memory of one engine.
    gang,        ///< Exceeds the memory of one engine; distributed over several.
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

/// Name of a class as used in metrics and logs.
[[nodiscard]] auto to_string(length_class value) -> const char*;

/// Index of a class in arrays with one element per class.
[[nodiscard]] constexpr auto index_of(length_class value) -> std::size_t
{
    return static_cast<std::size_t>(value);
}

/// Returns the class of a request with `prefill` uncached tokens and a KV cache of `total` tokens;
/// `engine_memory` is the KV cache capacity of one engine in tokens.
[[nodiscard]] auto classify(token_count prefill, token_count total, token_count engine_memory)
    -> length_class;

} // namespace dragonflymill
