#include "edge/listening_socket.h"

#include <boost/asio/ip/address.hpp>

namespace dragonflymill::edge {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

auto open_listening(tcp::acceptor& acceptor, const socket_address& address) -> result<void>
{
    boost::system::error_code failed;
    const auto ip = asio::ip::make_address(address.ip, failed);
    const auto check = [&] { return !failed; };
    const bool opened = check() && (acceptor.open(tcp::v4(), failed), check()) &&
                        (acceptor.set_option(tcp::acceptor::reuse_address(true), failed), check()) &&
                        (acceptor.bind({ip, address.port}, failed), check()) &&
                        (acceptor.listen(asio::socket_base::max_listen_connections, failed), check());
    if (!opened) {
        return error(error_kind::unavailable, "can't listen on " + to_text(address) + ": " + failed.message(),
                     "free the address or change it in the settings");
    }
    return success();
}

} // namespace dragonflymill::edge
