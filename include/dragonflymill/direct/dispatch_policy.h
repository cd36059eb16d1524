#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/engine_forecast.h"
#include "dragonflymill/direct/load_board.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dragonflymill::direct {

/// A call that wants an upstream.
struct call_shape
{
    std::int64_t prompt_tokens = 0; ///< 0 for plain services.
    std::int64_t answer_tokens = 0; ///< Most tokens of the answer.
    duration pause_aim{};           ///< Longest pause between its events that is on time; 0: none.
    duration time_to_leave{};       ///< Left until the caller leaves without an answer.
    duration time_to_aim{};         ///< Left until an answer would be late; negative once it is.
    std::string failure_domain;     ///< Domain of this gateway; preferred among equals.
    /// Differs from call to call: puts equal upstreams into another order for each. Gateways whose words are
    /// some hundred milliseconds old would else all choose the same idle one.
    std::uint64_t spread = 0;

    friend auto operator==(const call_shape&, const call_shape&) -> bool = default;
};

/// An upstream that a call may be sent to.
struct dispatch_candidate
{
    std::string id;             ///< Upstream.
    std::string failure_domain; ///< Where it runs.
    int slots = 1;              ///< Requests that it runs at once.
    bool suspect = false;       ///< Calls to it failed a moment ago.
    upstream_load load;         ///< Work in hand there, of all gateways.

    friend auto operator==(const dispatch_candidate&, const dispatch_candidate&) -> bool = default;
};

/// Where a call goes.
struct dispatch_choice
{
    std::string upstream;              ///< Answers it.
    std::vector<helper_share> helpers; ///< Read a part of its prompt each.
    bool is_long = false;              ///< Whether its prompt counts as long.
    duration reading{};                ///< Reading at each of them.
    duration first_token{};            ///< Expected until the first token.
    std::int64_t memory_tokens = 0;    ///< Filled at `upstream`.
    upstream_load load;                ///< Work in hand at `upstream` when it was chosen.
    std::string reason;                ///< For the log: what decided.

    friend auto operator==(const dispatch_choice&, const dispatch_choice&) -> bool = default;
};

/// Chooses the upstream of a plain call: the one with the least work in hand, in the gateway's own failure
/// domain among equals.
class plain_dispatch
{
public:
    /// The choice; nothing while all are full.
    [[nodiscard]] auto choose(const call_shape& call, std::span<const dispatch_candidate> candidates) const
        -> std::optional<dispatch_choice>;
};

/// Chooses engines for prompts of unlike lengths.
///
/// An engine that reads a long prompt beside streams holds each of their passes up by the reading, so that
/// short answers miss their pause aim. The engines are therefore parted: short prompts fill the first ones of
/// an order that all gateways share, as many as the short calls in hand need; long prompts are read behind
/// that border, in parts at many engines at once, so that no pass there is held up for long either. The
/// border is worked out anew for each call and so follows the mix at once.
class engine_dispatch
{
public:
    /// For engines with these figures; `tightest_pause` is the shortest pause aim of their streams.
    engine_dispatch(const engine_figures& figures, duration tightest_pause);

    /// The choice; nothing while the call had better wait.
    [[nodiscard]] auto choose(const call_shape& call, std::span<const dispatch_candidate> candidates) const
        -> std::optional<dispatch_choice>;
    /// Whether a prompt counts as long: reading it alone takes over half of the tightest pause.
    [[nodiscard]] auto is_long(std::int64_t prompt_tokens) const -> bool;
    /// Whether a call's stream bears no longer pauses than the tightest ones, so that it is written on the
    /// short side whatever its length.
    [[nodiscard]] auto is_tight(const call_shape& call) const -> bool;
    /// Engines of the first ones that are kept for short prompts.
    [[nodiscard]] auto short_side(std::span<const dispatch_candidate> candidates) const -> std::size_t;

    /// Share of an engine's slots that short calls fill before the next engine is taken: the rest absorbs
    /// what other gateways placed since they last reported.
    static constexpr double short_fill = 0.75;
    /// Engines that read one prompt together at most, as the engines allow.
    static constexpr std::size_t max_readers = 16;
    /// Long calls wait in the gateway while the engines that they would use have this much to read: a call
    /// that waits here can still go where room comes first.
    static constexpr duration max_backlog = 120ms;
    /// The same for calls that are late already, so that they don't make others late.
    static constexpr duration max_backlog_when_late = 60ms;
    /// A prompt is read in parts of about this share of the tightest pause: smaller parts reach more engines
    /// and each waits for the end of a pass there, larger ones hold up what the engines write meanwhile.
    static constexpr double part_share = 0.6;
    /// A call that will be late gets only as many engines as let it begin within this share of the time that
    /// its caller stays: late is late, and engines that it doesn't hold make no other call late.
    static constexpr double late_share = 0.7;
    /// Share of all engines that one prompt is read by at most: the largest takes seconds wherever it is
    /// read, and a burst of short prompts in that time must find engines without it.
    static constexpr double reader_share = 0.7;
    /// Share of the time that an engine's tightest stream bears beyond a pass which reading for others may
    /// take at once: a second part may arrive in the same pass.
    static constexpr double hold_share = 0.55;
    /// Part of an engine's memory that reservations and prompts fill: answers grow beyond their estimate.
    static constexpr double memory_fill = 0.97;

private:
    [[nodiscard]] auto choose_short(const call_shape& call, std::span<const dispatch_candidate> ordered,
                                    std::size_t border) const -> std::optional<dispatch_choice>;
    [[nodiscard]] auto choose_long(const call_shape& call, std::span<const dispatch_candidate> ordered,
                                   std::size_t border) const -> std::optional<dispatch_choice>;
    [[nodiscard]] auto may_hold_up(const dispatch_candidate& engine) const -> duration;
    /// The engine that answers a long call, and those that hold a part of its prompt.
    struct writer_choice
    {
        const dispatch_candidate* engine = nullptr;
        std::int64_t tokens = 0;
        std::vector<helper_share> holders;
    };

    [[nodiscard]] auto choose_writer(std::span<const dispatch_candidate> side, std::int64_t tokens) const
        -> std::optional<writer_choice>;
    [[nodiscard]] auto able_readers(const call_shape& call, std::span<const dispatch_candidate> ordered,
                                    const dispatch_choice& choice) const
        -> std::vector<const dispatch_candidate*>;
    void add_readers(const call_shape& call, std::span<const dispatch_candidate> ordered,
                     dispatch_choice& choice) const;
    [[nodiscard]] auto parts_for(std::int64_t prompt_tokens) const -> std::size_t;
    [[nodiscard]] auto memory_need(const call_shape& call) const -> std::int64_t;
    [[nodiscard]] auto free_memory(const dispatch_candidate& engine) const -> std::int64_t;

    engine_forecast forecast_;
    duration tightest_pause_;
};

/// Puts candidates into the order that all gateways share.
void sort_for_border(std::vector<dispatch_candidate>& candidates);

} // namespace dragonflymill::direct
