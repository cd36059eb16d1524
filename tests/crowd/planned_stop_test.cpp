#include "crowd/crowd_gateway.h"

#include <array>
#include <boost/asio/write.hpp>
#include <chrono>
#include <criterion/criterion.h>
#include <csignal>
#include <memory>

using namespace dragonflymill::crowd;
using boost::asio::ip::tcp;
using std::chrono::steady_clock;

namespace {

constexpr auto request_interval = std::chrono::milliseconds(50);

/// A caller with one request on a connection of its own.
class caller : public std::enable_shared_from_this<caller>
{
public:
    explicit caller(boost::asio::io_context& loop)
        : socket_(loop)
    {
    }
    void send(const tcp::endpoint& server, std::string request)
    {
        request_ = std::move(request);
        socket_.async_connect(server, [self = shared_from_this()](const auto& refused) {
            if (!refused) {
                boost::asio::async_write(self->socket_, boost::asio::buffer(self->request_),
                                         [self](const auto&, std::size_t) {});
                self->read();
            }
        });
    }
    [[nodiscard]] auto received() const -> const std::string& { return received_; }

private:
    void read()
    {
        socket_.async_read_some(boost::asio::buffer(buffer_),
                                [self = shared_from_this()](const auto& failed, std::size_t bytes) {
                                    self->received_.append(self->buffer_.data(), bytes);
                                    if (!failed) {
                                        self->read();
                                    }
                                });
    }

    tcp::socket socket_;
    std::string request_;
    std::string received_;
    std::array<char, 4096> buffer_{};
};

/// Stops a gateway as its platform does, with SIGKILL after the grace time, while bookings arrive that its
/// upstream never answers. Checks that each one that was passed on is answered, and that the process ends
/// before it is killed.
void check_stop(int grace_s)
{
    crowd_gateway gateway({.grace_s = grace_s});
    const std::size_t before = gateway.upstream_requests().size();
    std::vector<std::shared_ptr<caller>> callers;
    gateway.process().signal(SIGTERM);
    const auto kill_at = steady_clock::now() + std::chrono::seconds(grace_s);
    auto next_at = steady_clock::now();
    std::optional<int> exit_code;
    while (!exit_code && steady_clock::now() < kill_at) {
        if (steady_clock::now() >= next_at) {
            next_at += request_interval;
            callers.push_back(std::make_shared<caller>(gateway.loop()));
            callers.back()->send(gateway.callers(),
                                 crowd_gateway::request_head("/book/hang") + "Content-Length: " +
                                     std::to_string(std::to_string(callers.size() - 1).size()) + "\r\n\r\n" +
                                     std::to_string(callers.size() - 1));
        }
        gateway.loop().run_one_for(request_interval / 5);
        // A full pipe would delay the end of the process.
        while (gateway.process().read_line(dragonflymill::duration::zero())) {
        }
        exit_code = gateway.process().wait(dragonflymill::duration::zero());
    }
    gateway.process().signal(SIGKILL);
    (void)gateway.process().wait();
    const auto end = steady_clock::now() + std::chrono::seconds(1);
    while (steady_clock::now() < end) {
        gateway.loop().run_one_for(request_interval);
    }
    cr_expect(exit_code == 0, "the process was killed after %d s", grace_s);
    const auto& passed_on = gateway.upstream_requests();
    cr_assert(passed_on.size() > before, "no request was passed on");
    for (std::size_t at = before; at < passed_on.size(); ++at) {
        const std::string& request = passed_on[at]->received;
        const std::size_t number = std::stoul(request.substr(request.find("\r\n\r\n") + 4));
        cr_expect(callers.at(number)->received().starts_with("HTTP/1.1 502 "),
                  "booking %zu of %zu was passed on and got: %s", number, callers.size(),
                  callers.at(number)->received().c_str());
    }
}

} // namespace

// Guards against bookings that are passed on late in the grace time and cut without an answer at its end.
Test(planned_stop, answers_each_booking_that_was_passed_on, .timeout = 60)
{
    check_stop(8);
}

// Guards against the same where the grace time is shorter than the time for which callers are usually served.
Test(planned_stop, answers_each_booking_within_a_short_grace_time, .timeout = 60)
{
    check_stop(2);
}
