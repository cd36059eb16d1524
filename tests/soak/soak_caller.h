#pragma once

#include "http/response_parser.h"
#include "soak/soak_world.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace dragonflymill::soak {

/// What a caller sends.
struct soak_call
{
    std::string request;               ///< Id of the request.
    std::string path;                  ///< Path; its first segment names the route.
    std::string parts;                 ///< Parts of the prompt; empty for plain services.
    std::string body = "hi";           ///< Body.
    bool calm = false;                 ///< Sent while no faults are injected.
    std::function<void()> on_failed{}; ///< Called if it gets no complete response; may be empty.

    /// Whether upstreams may run it more than once.
    [[nodiscard]] auto is_repeatable() const -> bool { return is_stream() && path.starts_with("/chat/"); }
    /// Whether its response is a stream.
    [[nodiscard]] auto is_stream() const -> bool { return !parts.empty(); }
};

/// One call: opens a connection, sends a request and checks the response.
class soak_world::caller : public std::enable_shared_from_this<soak_world::caller>
{
public:
    caller(soak_world& world, soak_call call);
    void start(soak_gateway& gateway, std::uint16_t port);

private:
    void send_request();
    void note_drain();
    void read();
    void end(http::response_state state);
    /// Ends without a complete response.
    void fail();

    soak_world& world_;
    boost::asio::ip::tcp::socket socket_;
    soak_call call_;
    http::response_parser parser_{false};
    std::string body_;
    std::array<char, 4096> buffer_{};
};

} // namespace dragonflymill::soak
