#pragma once

#include "crowd/caller_crowd.h"
#include "soak/store_standin.h"
#include "support/child_process.h"
#include "support/standin_upstream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::crowd {

/// Limits of the gateway under test.
struct gateway_bounds
{
    std::size_t memory_mb = 64;         ///< Memory of its machine, as its settings state it.
    std::size_t descriptors = 4096;     ///< Descriptors, as its settings state them and the system enforces.
    std::size_t body_bytes = 1U << 20U; ///< Largest body, in the operator's configuration.
    std::size_t header_bytes = 16U << 10U; ///< Largest head, likewise.
    int slots = 400;                       ///< Calls that its upstream takes at once.
    int grace_s = 8;                       ///< Seconds from SIGTERM to SIGKILL, as its settings state them.
};

/// What came of a response until it was complete or its connection ended.
struct received_response
{
    bool complete = false;
    unsigned status = 0;
    std::string body;
};

/// A real gateway process that reaches upstreams directly, between a stand-in store, one stand-in upstream
/// and the callers of a test, on loopback.
class crowd_gateway
{
public:
    /// Starts the gateway and waits until it is ready.
    explicit crowd_gateway(const gateway_bounds& bounds);
    crowd_gateway(const crowd_gateway&) = delete;
    auto operator=(const crowd_gateway&) -> crowd_gateway& = delete;
    ~crowd_gateway();

    [[nodiscard]] auto loop() -> boost::asio::io_context& { return loop_; }
    /// Listeners for callers, for readiness, for metrics and for peers.
    [[nodiscard]] auto callers() const -> boost::asio::ip::tcp::endpoint { return {ip_, caller_port_}; }
    [[nodiscard]] auto readiness() const -> boost::asio::ip::tcp::endpoint { return {ip_, ready_port_}; }
    [[nodiscard]] auto metrics() const -> boost::asio::ip::tcp::endpoint { return {ip_, metrics_port}; }
    [[nodiscard]] auto peers() const -> boost::asio::ip::tcp::endpoint { return {ip_, peer_port_}; }

    /// Head of a request of a crowd without the fields that frame its body and without its end. The upstream
    /// never answers a request to `/book/hang` and answers one to `/book/large` with a megabyte.
    [[nodiscard]] static auto request_head(const std::string& path = "/book/x",
                                           const std::string& deadline_ms = "120000") -> std::string;
    /// Sends a request and returns the response, empty if none has come within 30 s.
    [[nodiscard]] auto response_to(const boost::asio::ip::tcp::endpoint& server, const std::string& request)
        -> std::string;
    /// Registers an upstream that the test runs itself; it gets all requests to `/custom/`.
    void add_custom_upstream(const std::string& address);
    /// Sends a request on a new connection and reads the response; not complete if it isn't within 30 s.
    [[nodiscard]] auto whole_response_to(const std::string& request) -> received_response;
    /// Whether one ordinary request on a new connection is answered.
    [[nodiscard]] auto answers() -> bool;
    /// Whether a check of readiness on a new connection is answered.
    [[nodiscard]] auto answers_readiness() -> bool;
    /// Runs the loop until `done`; false if it isn't within 30 s.
    [[nodiscard]] auto comes_true(const std::function<bool()>& done) -> bool;

    /// The store that it reads.
    [[nodiscard]] auto store() -> soak::store_standin& { return store_; }
    /// The gateway.
    [[nodiscard]] auto process() -> test_support::child_process& { return *process_; }
    /// Requests that its own upstream has received, in order.
    [[nodiscard]] auto upstream_requests() const
        -> const std::vector<std::shared_ptr<test_support::taken_connection>>&
    {
        return upstream_.requests;
    }

    /// Checks that the process lives and that its memory has never been above what its settings state.
    void check_bounds();
    /// Checks, after all callers have left, that the process has released what it held for them: that its
    /// memory is below half of what the settings state, its descriptors are about those at rest, no call is
    /// left at the upstream, and an ordinary request is answered.
    void check_released();

private:
    void answer(test_support::taken_connection& call);
    void write_settings() const;
    /// Sends a request on a new connection and reads until `done` returns true for what has come so far, or
    /// the connection has ended, or for 30 s.
    void exchange_with(const boost::asio::ip::tcp::endpoint& server, const std::string& request,
                       const std::function<bool(std::string_view received)>& done);

    static constexpr std::uint16_t metrics_port = 9464;

    boost::asio::io_context loop_{1};
    gateway_bounds bounds_;
    boost::asio::ip::address ip_;
    std::uint16_t caller_port_ = 0;
    std::uint16_t ready_port_ = 0;
    std::uint16_t peer_port_ = 0;
    soak::store_standin store_;
    test_support::standin_upstream upstream_;
    std::string settings_file_;
    std::unique_ptr<test_support::child_process> process_;
    std::size_t descriptors_at_rest_ = 0;
    int requests_ = 0;
};

} // namespace dragonflymill::crowd
