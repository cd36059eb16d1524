#include "support/tcp_relay.h"

#include "settings/socket_endpoint.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace dragonflymill::test_support {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// A pair of sockets, relayed in both directions.
class tcp_relay::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket caller, boost::asio::io_context& io)
        : caller_(std::move(caller))
        , callee_(io)
    {
    }
    void start(const tcp::endpoint& target)
    {
        callee_.async_connect(target, [self = shared_from_this()](error_code failure) {
            if (failure) {
                self->close();
                return;
            }
            self->pass({self->caller_, self->callee_, self->forth_});
            self->pass({self->callee_, self->caller_, self->back_});
        });
    }
    void cut() { is_cut_ = true; }

private:
    using piece = std::array<char, 16 * 1024>;

    struct direction
    {
        tcp::socket& from;
        tcp::socket& to;
        piece& space;
    };

    void pass(direction way)
    {
        way.from.async_read_some(boost::asio::buffer(way.space),
                                 [self = shared_from_this(), way](error_code failure, std::size_t size) {
                                     self->on_read(way, failure, size);
                                 });
    }
    void on_read(direction way, error_code failure, std::size_t size)
    {
        if (is_cut_) {
            return; // a close is not relayed either
        }
        if (failure) {
            close();
            return;
        }
        boost::asio::async_write(way.to, boost::asio::buffer(way.space, size),
                                 [self = shared_from_this(), way](error_code failed, std::size_t /*size*/) {
                                     self->on_written(way, failed);
                                 });
    }
    void on_written(direction way, error_code failure)
    {
        if (failure) {
            close();
            return;
        }
        pass(way);
    }
    void close()
    {
        error_code ignored;
        caller_.close(ignored);
        callee_.close(ignored);
    }

    tcp::socket caller_;
    tcp::socket callee_;
    piece forth_{};
    piece back_{};
    bool is_cut_ = false;
};

tcp_relay::tcp_relay(const std::string& target)
    : target_(tcp_endpoint(parse_socket_address(target).value()).value())
    , acceptor_(io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()))
{
    accept();
    thread_ = std::thread([this] { io_.run(); });
}

tcp_relay::~tcp_relay()
{
    io_.stop();
    thread_.join();
}

void tcp_relay::cut()
{
    boost::asio::post(io_, [this] {
        is_cut_ = true;
        for (const auto& open : connections_) {
            open->cut();
        }
    });
}

void tcp_relay::heal()
{
    boost::asio::post(io_, [this] { is_cut_ = false; });
}

void tcp_relay::accept()
{
    acceptor_.async_accept([this](error_code failure, tcp::socket caller) {
        if (failure) {
            return;
        }
        connections_.push_back(std::make_shared<connection>(std::move(caller), io_));
        if (!is_cut_) {
            connections_.back()->start(target_);
        }
        accept();
    });
}

} // namespace dragonflymill::test_support
