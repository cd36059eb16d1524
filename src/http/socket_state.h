#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace dragonflymill::http {

/// Whether the peer's host has acknowledged all bytes that were written to a connected socket, and no error
/// of the connection is pending; a pending error is cleared.
///
/// The end of a response without a length or chunks is that of its connection, which proves nothing before
/// the request was delivered: an upstream that crashes during an upload closes its connection, too.
[[nodiscard]] auto is_all_acknowledged(boost::asio::ip::tcp::socket& socket) -> bool;

} // namespace dragonflymill::http
