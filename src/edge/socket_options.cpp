#include "edge/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace dragonflymill::edge {

void prepare_socket(boost::asio::ip::tcp::socket& socket)
{
    // An option that can't be set leaves the connection usable; its other bounds still hold.
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using keep_idle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using keep_interval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using keep_count = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(keep_idle(probe_after_s), ignored);
    socket.set_option(keep_interval(probe_interval_s), ignored);
    socket.set_option(keep_count(probes), ignored);
    const auto limit_ms = std::chrono::duration_cast<std::chrono::milliseconds>(unacknowledged_limit).count();
    socket.set_option(user_timeout(static_cast<int>(limit_ms)), ignored);
}

} // namespace dragonflymill::edge
