#pragma once

#include "dragonflymill/core/error.h"
#include "http/http_session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

namespace dragonflymill::http {

/// Accepts callers' connections on one context and thread.
class http_server
{
public:
    /// Sessions run on `context`; `handlers` see their requests.
    http_server(boost::asio::io_context& context, http_limits limits, request_handlers handlers);

    /// Listens on `address`, given as IP:port; port 0 takes a free one.
    [[nodiscard]] auto listen(const std::string& address) -> result<void>;
    /// The address it listens on.
    [[nodiscard]] auto local_address() const -> std::string;
    /// Accepts no further connection and closes those that are idle. Runs on the context's thread.
    void stop_accepting();
    /// Connections open now. Read on the context's thread.
    [[nodiscard]] auto connection_count() -> std::size_t;

private:
    void accept_next();
    void forget_closed();

    boost::asio::io_context& context_;
    http_limits limits_;
    request_handlers handlers_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<std::uint64_t> numbers_ = std::make_shared<std::uint64_t>(0);
    std::shared_ptr<body_budget> bodies_;
    std::vector<std::weak_ptr<http_session>> sessions_;
    bool stopping_ = false;
};

} // namespace dragonflymill::http
