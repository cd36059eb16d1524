#include "settings/listening_socket.h"

#include "settings/socket_endpoint.h"

namespace dragonflymill {

auto open_listening(boost::asio::ip::tcp::acceptor& acceptor, const socket_address& address) -> result<void>
{
    using acceptor_type = boost::asio::ip::tcp::acceptor;
    const auto endpoint = tcp_endpoint(address);
    if (!endpoint) {
        return endpoint.error();
    }
    boost::system::error_code failed;
    const auto check = [&] { return !failed; };
    const bool opened = (acceptor.open(endpoint.value().protocol(), failed), check()) &&
                        (acceptor.set_option(acceptor_type::reuse_address(true), failed), check()) &&
                        (acceptor.bind(endpoint.value(), failed), check()) &&
                        (acceptor.listen(acceptor_type::max_listen_connections, failed), check());
    if (!opened) {
        return error(error_kind::unavailable, "can't listen on " + to_text(address) + ": " + failed.message(),
                     "choose a free port of this host or stop what holds it");
    }
    return success();
}

} // namespace dragonflymill
