#include "support/tcp_relay.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>

namespace dragonflymill::test_support {

using boost::asio::ip::tcp;

namespace {

auto endpoint_of(const std::string& text) -> tcp::endpoint
{
    const auto colon = text.rfind(':');
    return {boost::asio::ip::make_address(text.substr(0, colon)),
            static_cast<std::uint16_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10))};
}

} // namespace

/// Two sockets and what goes from each to the other.
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
        callee_.async_connect(target, [self = shared_from_this()](const auto& failure) {
            if (failure) {
                self->close();
                return;
            }
            self->pass(self->caller_, self->callee_, self->forth_);
            self->pass(self->callee_, self->caller_, self->back_);
        });
    }
    void cut() { is_cut_ = true; }

private:
    using piece = std::array<char, 16 * 1024>;

    void pass(tcp::socket& from, tcp::socket& to, piece& space)
    {
        from.async_read_some(boost::asio::buffer(space), [self = shared_from_this(), &from, &to,
                                                          &space](const auto& failure, std::size_t size) {
            if (self->is_cut_) {
                return; // also an end is not passed on
            }
            if (failure) {
                self->close();
                return;
            }
            boost::asio::async_write(to, boost::asio::buffer(space, size),
                                     [self, &from, &to, &space](const auto& write_failure, std::size_t) {
                                         write_failure ? self->close() : self->pass(from, to, space);
                                     });
        });
    }
    void close()
    {
        boost::system::error_code ignored;
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
    : target_(endpoint_of(target))
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
    acceptor_.async_accept([this](const auto& failure, tcp::socket caller) {
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
