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

/// A parsed and validated request, passed from the HTTP thread to the core thread.
struct accepted_request
{
    exchange pending;    ///< State kept to answer the request.
    gateway_event event; ///< Input for the core.
};

/// Settings of `caller_admission`.
struct caller_admission_options
{
    process_id self;                ///< Id of the gateway; part of each request id.
    std::uint64_t start = 0;        ///< Number of this process start; part of each request id.
    duration max_time_limit = 5min; ///< Default and upper bound of a request's time limit.
};

/// Parses and authorizes requests, validates them against the bundle in force and submits them to the core
/// thread. Runs on the HTTP thread, except for `set_bundle` and `set_stopping`, which any thread may call.
class caller_admission
{
public:
    /// Passes valid requests to `on_accepted`, which returns false if the core's queue is full. `metrics`
    /// returns the body of `GET /metrics`.
    caller_admission(caller_admission_options options, std::function<bool(accepted_request)> on_accepted,
                     std::function<std::string()> metrics);

    /// Answers one request or submits it to the core thread.
    void handle_request(const std::shared_ptr<http::http_session>& session, http::http_request request);

    /// Builds the response to a request that would exceed the memory limit for bodies; its body is not read.
    [[nodiscard]] auto body_limit_response() -> http::http_response;
    /// Sets the bundle in force.
    void set_bundle(std::shared_ptr<const bundle> in_force);
    /// Sets whether a graceful shutdown has begun. `/readyz` then returns 503; requests are still accepted.
    void set_stopping(bool stopping) { stopping_ = stopping; }
    /// Refuses all requests from now on, as the core no longer waits for their answers.
    void refuse_requests() { refuses_requests_ = true; }

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
    bool refuses_requests_ = false;
    std::uint64_t requests_ = 0;
};

/// Returns the core's number for the session's current exchange.
[[nodiscard]] auto exchange_number_of(const http::http_session& session) -> exchange_number;

} // namespace dragonflymill::gateway
