#pragma once

#include "standins/completion_caller.h"

namespace dragonflymill::standins {

/// A key as callers make them: UUID version 7, with the present time in it.
[[nodiscard]] auto booking_key(std::uint64_t seed,
                               std::chrono::milliseconds ahead = std::chrono::milliseconds::zero())
    -> std::string;

/// A caller of one booking, that sends it twice with the same key through different gateways, and each of the
/// two again until it is answered.
class booking_caller : public std::enable_shared_from_this<booking_caller>
{
public:
    /// Told once, when both tries are over.
    using end_callback = std::function<void(const booking_result&)>;

    /// A caller in `phase`; `around` outlives it.
    booking_caller(caller_surroundings& around, const planned_booking& plan, std::string account_key,
                   demo_phase phase, end_callback ended);
    /// Sends the first try.
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
