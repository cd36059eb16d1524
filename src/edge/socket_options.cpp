#include "edge/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace dragonflymill::edge {

void set_socket_options(boost::asio::ip::tcp::socket& socket)
{
    // The connection stays usable if an option can't be set; the other limits still apply.
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using keep_idle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using keep_interval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using keep_count = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(keep_idle(keepalive_idle_s), ignored);
    socket.set_option(keep_interval(keepalive_interval_s), ignored);
    socket.set_option(keep_count(keepalive_probe_count), ignored);
    const auto limit_ms = std::chrono::duration_cast<std::chrono::milliseconds>(tcp_user_timeout).count();
    socket.set_option(user_timeout(static_cast<int>(limit_ms)), ignored);
}

} // namespace dragonflymill::edge
