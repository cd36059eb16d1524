#pragma once

#include "dragonflymill/core/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflymill {

/// An IP address and a port. Host names are not resolved: processes address each other by IP, so that a
/// hanging name service can't block them.
struct socket_address
{
    std::string ip;         ///< IPv4 or IPv6 address in canonical text form.
    std::uint16_t port = 0; ///< Port; 0 in a listen address lets the system choose one.

    /// Returns whether no address is set.
    [[nodiscard]] auto empty() const -> bool { return ip.empty(); }

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the zero in a rewritten a < b
    friend auto operator<=>(const socket_address&, const socket_address&) -> std::strong_ordering = default;
};

/// Parses `127.0.0.1:8080` or `[::1]:8080`; fails with `invalid_input` on any other text.
[[nodiscard]] auto parse_socket_address(std::string_view text) -> result<socket_address>;

/// Formats an address as `parse_socket_address` reads it; an empty address gives an empty text.
[[nodiscard]] auto to_text(const socket_address& address) -> std::string;

} // namespace dragonflymill
