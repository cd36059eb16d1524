#pragma once

#include "dragonflymill/route/upstream_description.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace dragonflymill {

/// A try at a request that this gateway has sent to an upstream.
struct dispatched_work
{
    request_id request;                            ///< The request.
    attempt_number attempt;                        ///< The try.
    length_class size = length_class::interactive; ///< Its class.
    token_count prefill = 0;                       ///< Predicted tokens not in the cache.
    token_count context = 0;                       ///< Tokens of memory it takes.
    duration predicted_first_token{0};             ///< First-token time predicted without correction.

    friend auto operator==(const dispatched_work&, const dispatched_work&) -> bool = default;
};

/// What this gateway knows of one upstream: the newest load word, and its own work that the word can't cover
/// yet.
class upstream_record
{
public:
    /// Largest number of own tries kept for one upstream.
    static constexpr std::size_t max_in_flight = 4'096;

    /// Starts with no word on load.
    explicit upstream_record(upstream_description description);

    /// What the bundle says.
    [[nodiscard]] auto description() const -> const upstream_description& { return description_; }
    /// What membership says.
    [[nodiscard]] auto state() const -> upstream_state { return state_; }
    /// The newest load word.
    [[nodiscard]] auto load() const -> const upstream_load& { return load_; }
    /// Whether a load word ever came.
    [[nodiscard]] auto has_load() const -> bool { return has_load_; }
    /// How old the newest load word is.
    [[nodiscard]] auto load_age(instant now) const -> duration { return now - measured_at_; }
    /// Whether new work may go there at all.
    [[nodiscard]] auto takes_new_work() const -> bool;
    /// Whether its operators, or its own sidecar, have taken it out.
    [[nodiscard]] auto drained() const -> bool { return drained_ || load_.draining; }
    /// Whether it serves the model, and the adapter if one is named.
    [[nodiscard]] auto serves(const model_id& model, const adapter_id& adapter) const -> bool;
    /// Tokens of prefill that stand before a request of class `size`: its own class and the shorter ones.
    [[nodiscard]] auto queue_ahead(length_class size) const -> token_count;
    /// Tokens of prefill of one class, the load word corrected by own work.
    [[nodiscard]] auto queued(length_class size) const -> token_count;
    /// Requests in decode, own ones that the load word can't cover included.
    [[nodiscard]] auto running() const -> std::int64_t;
    /// Own tries that have not ended.
    [[nodiscard]] auto own_in_flight() const -> std::int64_t { return own_in_flight_; }
    /// Tokens of memory free for a new request; the largest number if memory does not bound it.
    [[nodiscard]] auto memory_free() const -> token_count;
    /// Whether a cold upstream's ramp has no room for `cost` more.
    [[nodiscard]] auto ramp_full(token_count cost) const -> bool;
    /// Observed over predicted first-token time of a class, averaged: corrects a load word that lies and a
    /// rate that is off. By class, since long prompts that wait for shorter ones say nothing about those.
    [[nodiscard]] auto slowness(length_class size) const -> double { return slowness_[index_of(size)]; }
    /// Hash of its name, for rendezvous.
    [[nodiscard]] auto name_hash() const -> std::uint64_t { return name_hash_; }

    /// Takes over a new description.
    void describe(upstream_description description);
    /// Takes over membership's word.
    void set_state(upstream_state state) { state_ = state; }
    /// Takes over the operators' word.
    void set_drained(bool drained) { drained_ = drained; }
    /// Takes over a load word; an older one than the newest is dropped.
    void report(instant now, const upstream_load& load);
    /// Notes own work sent; false if `max_in_flight` tries are there already.
    [[nodiscard]] auto sent(instant now, const dispatched_work& work) -> bool;
    /// Notes the first token of own work.
    void first_token(instant now, const request_id& request, attempt_number attempt);
    /// Notes the end, of any kind, of own work.
    void finished(instant now, const request_id& request, attempt_number attempt);

private:
    using class_tokens = std::array<token_count, length_class_count>;

    struct own_work
    {
        dispatched_work work;
        instant sent_at;
        instant prefilled_at;
        instant ended_at;
        bool prefilled = false;
        bool ended = false;
    };

    [[nodiscard]] auto find(const request_id& request, attempt_number attempt) -> own_work*;
    void note_prefilled(instant now, own_work& own);
    void forget_covered();
    void recount();

    upstream_description description_;
    std::uint64_t name_hash_ = 0;
    upstream_state state_ = upstream_state::alive;
    bool drained_ = false;
    bool has_load_ = false;
    upstream_load load_;
    instant measured_at_;
    std::array<double, length_class_count> slowness_{1.0, 1.0, 1.0, 1.0};
    std::vector<own_work> own_;
    class_tokens own_waiting_{};    // own prefill not yet done
    class_tokens own_unreported_{}; // the part of it sent after the load word was measured
    class_tokens own_done_since_{}; // own prefill in the load word that was done after it was measured
    std::int64_t own_in_flight_ = 0;
    std::int64_t own_decoding_ = 0;
    token_count own_context_ = 0; // of own work in decode
};

} // namespace dragonflymill
