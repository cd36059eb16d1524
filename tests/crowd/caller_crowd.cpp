#include "crowd/caller_crowd.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <string_view>

namespace dragonflymill::crowd {

using boost::asio::ip::tcp;
using clock = std::chrono::steady_clock;

namespace {

constexpr auto blocked_time = std::chrono::seconds(1);
constexpr auto generous = std::chrono::seconds(30);
constexpr auto poll_interval = std::chrono::milliseconds(20);
/// A member that doesn't read has little room for what it isn't reading.
constexpr int small_receive_buffer = 4'096;

} // namespace

class caller_crowd::member : public std::enable_shared_from_this<caller_crowd::member>
{
public:
    member(boost::asio::io_context& loop, std::shared_ptr<const crowd_message> message)
        : socket_(loop)
        , pause_(loop)
        , message_(std::move(message))
    {
    }

    void start(const tcp::endpoint& server)
    {
        boost::system::error_code failed;
        socket_.open(server.protocol(), failed);
        if (!message_->reads) {
            socket_.set_option(boost::asio::socket_base::receive_buffer_size(small_receive_buffer), failed);
        }
        socket_.async_connect(server, [self = shared_from_this()](const auto& refused) {
            if (refused) {
                self->ended_ = true;
                return;
            }
            self->write();
            if (self->message_->reads) {
                self->read();
            }
        });
    }

    [[nodiscard]] auto ended() const -> bool { return ended_; }
    /// Whether it can't send any more, or hasn't been able to for a while.
    [[nodiscard]] auto settled() const -> bool
    {
        return ended_ || sent_all_ || clock::now() - last_sent_ > blocked_time;
    }
    void leave()
    {
        boost::system::error_code ignored;
        socket_.close(ignored);
        ended_ = true;
    }

private:
    /// The bytes at the current position up to the end of their part.
    [[nodiscard]] auto rest() const -> std::string_view
    {
        const std::string& part = part_ == 0                  ? message_->head
                                  : part_ <= message_->pieces ? message_->piece
                                                              : message_->tail;
        return std::string_view(part).substr(offset_);
    }

    void write()
    {
        while (rest().empty()) {
            if (part_ > message_->pieces) {
                sent_all_ = true;
                return;
            }
            ++part_;
            offset_ = 0;
            if (message_->pause.count() > 0) {
                write_after_pause();
                return;
            }
        }
        const std::string_view bytes = rest();
        socket_.async_write_some(boost::asio::buffer(bytes.data(), bytes.size()),
                                 [self = shared_from_this()](const auto& failed, std::size_t written) {
                                     if (failed) {
                                         self->ended_ = true;
                                         return;
                                     }
                                     self->offset_ += written;
                                     self->last_sent_ = clock::now();
                                     self->write();
                                 });
    }

    void write_after_pause()
    {
        pause_.expires_after(message_->pause);
        pause_.async_wait([self = shared_from_this()](const auto& cancelled) {
            if (!cancelled && !self->ended_) {
                self->write();
            }
        });
    }

    void read()
    {
        socket_.async_read_some(boost::asio::buffer(buffer_),
                                [self = shared_from_this()](const auto& failed, std::size_t) {
                                    if (failed) {
                                        self->ended_ = true;
                                        return;
                                    }
                                    self->read();
                                });
    }

    tcp::socket socket_;
    boost::asio::steady_timer pause_;
    std::shared_ptr<const crowd_message> message_;
    std::array<char, 4096> buffer_{};
    std::size_t part_ = 0;
    std::size_t offset_ = 0;
    clock::time_point last_sent_ = clock::now();
    bool sent_all_ = false;
    bool ended_ = false;
};

caller_crowd::caller_crowd(boost::asio::io_context& loop, const tcp::endpoint& server, std::size_t members,
                           crowd_message message)
    : loop_(loop)
    , message_(std::make_shared<const crowd_message>(std::move(message)))
{
    for (std::size_t count = 0; count < members; ++count) {
        members_.push_back(std::make_shared<member>(loop, message_));
        members_.back()->start(server);
    }
}

void caller_crowd::run_until_sent()
{
    const auto settled = [](const auto& each) { return each->settled(); };
    while (!std::all_of(members_.begin(), members_.end(), settled)) {
        loop_.run_one_for(poll_interval);
    }
}

auto caller_crowd::all_ended() -> bool
{
    const auto end = clock::now() + generous;
    const auto ended = [](const auto& each) { return each->ended(); };
    while (!std::all_of(members_.begin(), members_.end(), ended)) {
        if (clock::now() > end) {
            return false;
        }
        loop_.run_one_for(poll_interval);
    }
    return true;
}

void caller_crowd::leave()
{
    for (const auto& each : members_) {
        each->leave();
    }
    members_.clear();
}

} // namespace dragonflymill::crowd
