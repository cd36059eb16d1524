#pragma once

#include "standins/demo_report.h"
#include "standins/gateway_error.h"
#include "standins/http_client.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace dragonflymill::standins {

/// Context shared by the callers of the demo.
struct caller_surroundings
{
    boost::asio::io_context& io;                       ///< Runs all callers.
    std::function<std::string()> next_gateway;         ///< Chooses the address for the next request.
    std::function<void(const gateway_error&)> refused; ///< Called for each refusal.
    duration patience = 15s;   ///< Time since the first attempt in which refusals are retried.
    duration time_limit = 40s; ///< Timeout of one attempt.
};

/// A completion with its request body and expected answer.
struct prepared_completion
{
    planned_completion plan; ///< The planned request.
    std::string model;       ///< Requested model.
    std::string key;         ///< Bearer token of the client account.
    std::string body;        ///< Request body.
    std::string expected;    ///< Expected complete answer.
};

/// Builds the request body and the expected answer.
[[nodiscard]] auto prepare(const planned_completion& plan, const std::string& model, const std::string& key)
    -> prepared_completion;

/// Caller of one streamed completion. Retries refusals and checks the complete answer.
class completion_caller : public std::enable_shared_from_this<completion_caller>
{
public:
    /// Called once with the result.
    using end_callback = std::function<void(const completion_result&)>;

    /// `around` must outlive the caller; `phase` goes into the result.
    completion_caller(caller_surroundings& around, std::shared_ptr<const prepared_completion> prepared,
                      demo_phase phase, end_callback ended);
    /// Sends the first attempt.
    void start();

private:
    void send();
    void take(std::string_view piece);
    void take_event(std::string_view data);
    void take_answer(const http_answer& answer);
    void end_or_retry(const gateway_error& problem);
    void finish(completion_end end, const std::string& why);
    [[nodiscard]] auto elapsed() const -> duration;

    caller_surroundings& around_;
    std::shared_ptr<const prepared_completion> prepared_;
    std::shared_ptr<http_call> call_;
    end_callback ended_;
    boost::asio::steady_timer retry_timer_;
    std::chrono::steady_clock::time_point begin_;
    completion_result result_;
    std::string received_; // received bytes not yet parsed
    std::string text_;     // text of the answer so far
    bool done_ = false;    // received the final event
    std::optional<gateway_error> stream_error_;
};

} // namespace dragonflymill::standins
