#pragma once

#include <array>
#include <span>

namespace dragonflymill::http {

/// Buffer for one read, shared by all connections of a thread: what was read is consumed before the next
/// read. A buffer for each connection would be the largest part of what an idle one takes.
[[nodiscard]] inline auto shared_read_buffer() -> std::span<char>
{
    constexpr std::size_t read_bytes = 16'384;
    static thread_local std::array<char, read_bytes> buffer{};
    return buffer;
}

} // namespace dragonflymill::http
