#pragma once

#include "dragonflymill/core/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflymill {

/// An IP number and a port. Names are not resolved: our processes talk by IP numbers, and a name service that
/// hangs would hang them.
struct socket_address
{
    std::string ip;         ///< IPv4 or IPv6 number, in its canonical text.
    std::uint16_t port = 0; ///< Port; 0 in a listening address lets the system choose.

    /// Whether none was set.
    [[nodiscard]] auto empty() const -> bool { return ip.empty(); }

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the zero of a rewritten a < b for a pointer
    friend auto operator<=>(const socket_address&, const socket_address&) -> std::strong_ordering = default;
};

/// Reads `127.0.0.1:8080` or `[::1]:8080`.
[[nodiscard]] auto parse_socket_address(std::string_view text) -> result<socket_address>;

/// Writes an address the way `parse_socket_address` reads it; nothing for an empty one.
[[nodiscard]] auto to_text(const socket_address& address) -> std::string;

} // namespace dragonflymill
