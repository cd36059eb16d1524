#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace dragonflymill::crowd {

/// What each member of a crowd sends: `head`, then `piece` as often as `pieces` says, then `tail`.
struct crowd_message
{
    std::string head;
    std::string piece{};
    std::size_t pieces = 0;
    std::string tail{};
    bool reads = true;                  ///< Whether the member reads what it receives.
    std::chrono::milliseconds pause{0}; ///< Time between two pieces.
};

/// Clients that send the same bytes on a connection each and stay connected until `leave`. Their writes don't
/// block: one whose server doesn't read waits without delaying the others.
class caller_crowd
{
public:
    /// Connects `members` clients to `server`.
    caller_crowd(boost::asio::io_context& loop, const boost::asio::ip::tcp::endpoint& server,
                 std::size_t members, crowd_message message);
    caller_crowd(const caller_crowd&) = delete;
    auto operator=(const caller_crowd&) -> caller_crowd& = delete;
    ~caller_crowd() { leave(); }

    /// Runs the loop until each member has sent all, has been disconnected or has been unable to send for a
    /// second.
    void run_until_sent();
    /// Runs the loop until the server has ended each connection; false if it hasn't within 30 s.
    [[nodiscard]] auto all_ended() -> bool;
    /// Closes all connections.
    void leave();

private:
    class member;

    boost::asio::io_context& loop_;
    std::shared_ptr<const crowd_message> message_;
    std::vector<std::shared_ptr<member>> members_;
};

} // namespace dragonflymill::crowd
