#include "http/socket_state.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <string>

using boost::asio::ip::tcp;
using dragonflymill::http::is_all_acknowledged;

namespace {

/// Two connected sockets on loopback, of which the second one receives little at once.
struct socket_pair
{
    socket_pair()
    {
        tcp::acceptor acceptor(loop);
        acceptor.open(tcp::v4());
        acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4'096));
        acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
        acceptor.listen();
        first.connect(acceptor.local_endpoint());
        acceptor.accept(second);
        first.set_option(boost::asio::socket_base::send_buffer_size(131'072));
    }

    boost::asio::io_context loop;
    tcp::socket first{loop};
    tcp::socket second{loop};
};

} // namespace

// Guards against a request that counts as delivered while the system still holds a part of it.
Test(socket_state, is_acknowledged_once_the_peer_has_received_all)
{
    socket_pair sockets;
    cr_assert(is_all_acknowledged(sockets.first));
    const std::string bytes(65'536, 'x');
    boost::asio::write(sockets.first, boost::asio::buffer(bytes));
    cr_assert(!is_all_acknowledged(sockets.first));
    std::string received(bytes.size(), ' ');
    boost::asio::read(sockets.second, boost::asio::buffer(received));
    // Its answer acknowledges what it has read.
    boost::asio::write(sockets.second, boost::asio::buffer("x", 1));
    std::string answer(1, ' ');
    boost::asio::read(sockets.first, boost::asio::buffer(answer));
    cr_assert(is_all_acknowledged(sockets.first));
}

// Guards against a reset behind an orderly end, which reads don't report.
Test(socket_state, is_not_acknowledged_after_a_reset)
{
    socket_pair sockets;
    sockets.second.shutdown(tcp::socket::shutdown_send);
    std::string answer(1, ' ');
    boost::system::error_code ended;
    boost::asio::read(sockets.first, boost::asio::buffer(answer), ended);
    cr_assert(ended == boost::asio::error::eof && is_all_acknowledged(sockets.first));
    sockets.second.set_option(boost::asio::socket_base::linger(true, 0));
    sockets.second.close();
    cr_assert(!is_all_acknowledged(sockets.first));
}
