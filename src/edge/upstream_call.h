#pragma once

#include "dragonflymill/direct/attempt_rules.h"
#include "edge/loop_timers.h"
#include "edge/response_parser.h"
#include "edge/send_queue.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

namespace dragonflymill::edge {

/// Takes what an upstream answers.
class answer_receiver
{
public:
    answer_receiver() = default;
    virtual ~answer_receiver() = default;
    answer_receiver(const answer_receiver&) = delete;
    auto operator=(const answer_receiver&) -> answer_receiver& = delete;

    /// The head came; false to break the call off.
    virtual auto answer_head_came(const answer_head& head) -> bool = 0;
    /// Bytes of the body came.
    virtual void answer_body_came(const std::string& bytes) = 0;
    /// The answer is whole.
    virtual void answer_completed() = 0;
    /// No whole answer will come; `why` is for the log.
    virtual void answer_failed(direct::attempt_end end, const std::string& why) = 0;
};

/// One request at one upstream, on a connection of its own.
///
/// A connection is used once. A kept one may have been dropped by the upstream without a digest, may hold
/// bytes of an earlier answer, or may deliver a late second one; each would cost a call that must not be
/// repeated. A new connection costs about a millisecond and no processor time worth counting beside a
/// stream's events.
class upstream_call : public std::enable_shared_from_this<upstream_call>
{
public:
    /// `receiver` outlives the call or cancels it first.
    upstream_call(boost::asio::io_context& loop, loop_timers& timers, answer_receiver& receiver);

    /// Connects to `address` and sends `request`; `no_body` if the answer has no body whatever it says.
    void start(const std::string& address, std::string request, bool no_body);
    /// Ends the call without a digest to the receiver; the upstream sees its connection close.
    void cancel();
    /// Whether a byte of the request may have left.
    [[nodiscard]] auto any_sent() const -> bool { return out_.any_sent(); }

    /// A connection that takes longer fails: the farthest upstream is 15 ms away there and back, and a lost
    /// packet is only sent again after a second, which a new connection elsewhere beats.
    static constexpr duration connect_limit = 250ms;

private:
    void connected(const boost::system::error_code& failed);
    void read();
    void took(const boost::system::error_code& failed, std::size_t bytes);
    void take(std::string_view bytes);
    void ended(const boost::system::error_code& failed);
    void fail(direct::attempt_end end, const std::string& why);
    void close();

    static constexpr std::size_t read_bytes = 16'384;

    boost::asio::ip::tcp::socket socket_;
    loop_timers& timers_;
    answer_receiver* receiver_;
    send_queue out_;
    std::string request_;
    std::optional<response_parser> parser_;
    std::array<char, read_bytes> buffer_{};
    std::optional<timer_id> connect_timer_;
    bool no_body_ = false;
    bool head_passed_ = false;
};

} // namespace dragonflymill::edge
