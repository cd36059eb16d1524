#pragma once

#include "standins/completion_caller.h"

namespace dragonflymill::standins {

/// Makes an idempotency key as clients do: a UUID version 7 with the current time plus `ahead`.
[[nodiscard]] auto booking_key(std::uint64_t seed,
                               std::chrono::milliseconds ahead = std::chrono::milliseconds::zero())
    -> std::string;

/// Caller of one booking. Sends it twice with the same idempotency key through different gateways, and
/// retries each of the two until it succeeds or the retry time is over.
class booking_caller : public std::enable_shared_from_this<booking_caller>
{
public:
    /// Called once, when both attempts have ended.
    using end_callback = std::function<void(const booking_result&)>;

    /// `around` must outlive the caller; `phase` goes into the result.
    booking_caller(caller_surroundings& around, const planned_booking& plan, std::string account_key,
                   demo_phase phase, end_callback ended);
    /// Sends the first attempt and schedules the second.
    void start();

private:
    void send(const std::string& gateway);
    void take_answer(const http_answer& answer);
    void retry_later(duration wait);
    void end_try();

    caller_surroundings& around_;
    planned_booking plan_;
    std::string account_key_;
    end_callback ended_;
    boost::asio::steady_timer second_timer_;
    std::chrono::steady_clock::time_point begin_;
    booking_result result_;
    int tries_open_ = 2;
};

} // namespace dragonflymill::standins
