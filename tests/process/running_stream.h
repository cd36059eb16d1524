#pragma once

#include "process/process_fleet.h"

#include <criterion/criterion.h>

#include <string>

namespace dragonflymill::test {

/// A long answer under way through gateway-1, and the engine that gives it.
class running_stream
{
public:
    /// Sends the request, with a limit of its own if given, and waits until an engine holds it.
    explicit running_stream(process_fleet& fleet, token_count answer = long_answer,
                            duration time_limit = generous)
        : answer_(answer)
        , seed_(seed_of_long_answer(prompt, answer))
        , call_(limited(fleet.completion("gateway-1", prompt, answer, seed_), time_limit))
    {
        cr_assert(comes_true([&] { return !(engine_ = fleet.busy_engine()).empty(); }), "no engine got it");
    }
    /// Waits until the caller has read a part of the answer.
    void wait_until_read() const
    {
        cr_assert(comes_true([&] { return call_.received() > 0; }), "the caller reads nothing");
    }
    /// The engine that had it first.
    [[nodiscard]] auto engine() const -> const std::string& { return engine_; }
    /// What the caller got, once it is over.
    [[nodiscard]] auto got() -> const standins::http_answer& { return call_.answer(); }
    /// Whether the caller got the whole answer, each token once.
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
    static constexpr token_count long_answer = 120; // the stand-in's longest is a little more

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
