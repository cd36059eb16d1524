#pragma once

#include "process/process_fleet.h"

#include <criterion/criterion.h>

#include <string>

namespace dragonflymill::test {

/// A long streamed response in flight through gateway-1, and the engine that decodes it.
class running_stream
{
public:
    /// Sends the request, with its own timeout if given, and waits until an engine has accepted it.
    explicit running_stream(process_fleet& fleet, token_count answer = long_answer,
                            duration time_limit = generous)
        : answer_(answer)
        , seed_(seed_of_long_answer(prompt, answer))
        , call_(limited(fleet.completion("gateway-1", prompt, answer, seed_), time_limit))
    {
        cr_assert(comes_true([&] { return !(engine_ = fleet.busy_engine()).empty(); }),
                  "no engine accepted the request");
    }
    /// Waits until the caller has received a part of the response.
    void wait_until_read() const
    {
        cr_assert(comes_true([&] { return call_.received() > 0; }), "the caller received nothing");
    }
    /// The engine that accepted the first attempt.
    [[nodiscard]] auto engine() const -> const std::string& { return engine_; }
    /// Waits for the end of the call; the response as the caller received it.
    [[nodiscard]] auto got() -> const standins::http_answer& { return call_.answer(); }
    /// Whether the caller received the complete response, each token exactly once.
    [[nodiscard]] auto is_whole() -> bool
    {
        const bool whole = is_whole_answer(got(), prompt, answer_, seed_);
        if (!whole) {
            cr_log_warn("status %u, %s, %s", got().status, got().failure.c_str(), got().body.c_str());
        }
        return whole;
    }

private:
    static constexpr token_count prompt = 500;
    static constexpr token_count long_answer = 120; // slightly below the stand-in's longest response

    static auto limited(standins::http_call call, duration time_limit) -> standins::http_call
    {
        call.time_limit = time_limit;
        return call;
    }

    token_count answer_;
    std::uint64_t seed_;
    background_call call_;
    std::string engine_;
};

} // namespace dragonflymill::test
