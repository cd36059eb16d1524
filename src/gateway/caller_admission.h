#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/serve/gateway_messages.h"
#include "gateway/exchange.h"
#include "http/http_session.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace dragonflymill::gateway {

/// A caller's request, read and checked, on its way to the deciding thread.
struct accepted_request
{
    exchange pending;    ///< What is needed to answer it.
    gateway_event event; ///< What the deciding thread is told.
};

/// What a gateway's HTTP side needs to know.
struct caller_admission_options
{
    process_id self;                ///< The gateway; part of each request's name.
    std::uint64_t start = 0;        ///< Number of this start; part of each request's name.
    duration max_time_limit = 5min; ///< Time limit of requests that name none, and the most they may name.
};

/// Reads callers' requests: checks them against the bundle in force and hands them on. Runs on the HTTP
/// thread, but for `adopt`, `set_ready` and `set_stopping`.
class caller_admission
{
public:
    /// Hands arrivals to `on_arrival`, which says false when there is no room; `metrics` gives the metrics'
    /// text.
    caller_admission(caller_admission_options options, std::function<bool(accepted_request)> on_accepted,
                     std::function<std::string()> metrics);

    /// Answers or hands on one request.
    void handle_request(const std::shared_ptr<http::http_session>& session, http::http_request request);

    /// The answer to a request for whose body there is no room; its body has not been read.
    [[nodiscard]] auto body_limit_response() -> http::http_response;
    /// A bundle has come into force.
    void set_bundle(std::shared_ptr<const bundle> in_force);
    /// Whether the gateway takes requests at all; false from the beginning of a planned stop.
    void set_stopping(bool stopping) { stopping_ = stopping; }

private:
    using session_ptr = std::shared_ptr<http::http_session>;

    [[nodiscard]] auto in_force() const -> std::shared_ptr<const bundle>;
    [[nodiscard]] auto next_request_id() -> request_id;
    [[nodiscard]] auto answer_without_account(const http::http_request& request) const
        -> std::optional<http::http_response>;
    [[nodiscard]] auto readiness() const -> http::http_response;
    void handle_authorized(const account_entry& account, const bundle& current, const session_ptr& session,
                           http::http_request request, const request_id& id);
    void handle_completion(const account_entry& account, const bundle& current, const session_ptr& session,
                           const http::http_request& request, const request_id& id);
    void handle_service(const account_entry& account, const bundle& current, const session_ptr& session,
                        http::http_request request, const request_id& id);
    void submit(const session_ptr& session, accepted_request accepted);

    caller_admission_options options_;
    std::function<bool(accepted_request)> on_accepted_;
    std::function<std::string()> metrics_;
    mutable std::mutex mutex_;
    std::shared_ptr<const bundle> in_force_;
    std::atomic<bool> stopping_{false};
    std::uint64_t requests_ = 0;
};

/// Number of the exchange that a session's exchange is for the deciding thread.
[[nodiscard]] auto number_of(const http::http_session& session) -> exchange_number;

} // namespace dragonflymill::gateway
