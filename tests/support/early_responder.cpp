#include "support/early_responder.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace dragonflymill::test_support {

namespace {

/// Time without further bytes after which the peer's writes count as stalled.
constexpr auto stall_time = std::chrono::milliseconds(20);
/// Time between two parts of a response, so that the peer reads them apart.
constexpr auto part_interval = std::chrono::milliseconds(5);

} // namespace

class early_responder::connection : public std::enable_shared_from_this<early_responder::connection>
{
public:
    connection(boost::asio::io_context& loop, boost::asio::ip::tcp::socket accepted,
               std::shared_ptr<const early_response> response, std::shared_ptr<totals> sums)
        : socket_(std::move(accepted))
        , timer_(loop)
        , response_(std::move(response))
        , totals_(std::move(sums))
    {
    }

    void start() { read_before_response(); }

private:
    using handler = std::function<void()>;

    void read_before_response()
    {
        if (read_ >= response_->bytes_to_read) {
            response_->when_writes_stall ? wait_until_stalled() : send_part(0);
            return;
        }
        socket_.async_read_some(boost::asio::buffer(buffer_),
                                [self = shared_from_this()](const auto& failed, std::size_t bytes) {
                                    self->read_ += bytes;
                                    if (!failed) {
                                        self->read_before_response();
                                    }
                                });
    }

    void wait_until_stalled()
    {
        after(stall_time, [this] {
            boost::system::error_code failed;
            const std::size_t unread = socket_.available(failed);
            const bool stalled = unread > 0 && unread == std::exchange(unread_, unread);
            stalled ? send_part(0) : wait_until_stalled();
        });
    }

    void send_part(std::size_t number)
    {
        boost::system::error_code ignored; // the test sees what its peer makes of a broken connection
        totals_->sent += boost::asio::write(socket_, boost::asio::buffer(response_->parts[number]), ignored);
        if (number + 1 == response_->parts.size()) {
            end();
            return;
        }
        after(part_interval, [this, number] { send_part(number + 1); });
    }

    void end()
    {
        boost::system::error_code ignored;
        switch (response_->end) {
        case early_response::ending::reset:
            socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket_.close(ignored);
            return;
        case early_response::ending::half_close:
            socket_.shutdown(boost::asio::socket_base::shutdown_send, ignored);
            return;
        case early_response::ending::half_close_read:
            socket_.shutdown(boost::asio::socket_base::shutdown_send, ignored);
            read_to_end();
            return;
        case early_response::ending::stay_open:
            return;
        case early_response::ending::repeat:
            repeat_last_part();
            return;
        }
    }

    void read_to_end()
    {
        socket_.async_read_some(boost::asio::buffer(buffer_),
                                [self = shared_from_this()](const auto& failed, std::size_t /*bytes*/) {
                                    if (!failed) {
                                        self->read_to_end();
                                    }
                                });
    }

    void repeat_last_part()
    {
        boost::asio::async_write(socket_, boost::asio::buffer(response_->parts.back()),
                                 [self = shared_from_this()](const auto& failed, std::size_t bytes) {
                                     self->totals_->sent += bytes;
                                     if (failed) {
                                         ++self->totals_->closed;
                                         return;
                                     }
                                     self->repeat_last_part();
                                 });
    }

    void after(std::chrono::milliseconds delay, handler then)
    {
        timer_.expires_after(delay);
        timer_.async_wait([self = shared_from_this(), then = std::move(then)](const auto& failed) {
            if (!failed) {
                then();
            }
        });
    }

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<const early_response> response_;
    std::shared_ptr<totals> totals_;
    std::array<char, 16'384> buffer_{};
    std::size_t read_ = 0;
    std::size_t unread_ = 0;
};

early_responder::early_responder(boost::asio::io_context& loop, early_response response)
    : loop_(loop)
    , acceptor_(loop)
    , response_(std::make_shared<const early_response>(std::move(response)))
{
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(endpoint.protocol());
    if (response_->receive_buffer > 0) {
        acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(response_->receive_buffer));
    }
    acceptor_.bind(endpoint);
    acceptor_.listen();
    accept();
}

auto early_responder::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void early_responder::accept()
{
    acceptor_.async_accept([this](const auto& failed, boost::asio::ip::tcp::socket socket) {
        if (failed) {
            return;
        }
        open_.push_back(std::make_shared<connection>(loop_, std::move(socket), response_, totals_));
        open_.back()->start();
        accept();
    });
}

} // namespace dragonflymill::test_support
