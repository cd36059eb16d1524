#pragma once

#include "dragonflymill/route/upstream_description.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace dragonflymill {

/// An attempt of a request that this gateway has sent to an upstream.
struct dispatched_work
{
    request_id request;                            ///< Id of the request.
    attempt_number attempt;                        ///< Number of the attempt.
    length_class size = length_class::interactive; ///< Length class of the request on this upstream.
    token_count prefill = 0;                       ///< Predicted prefill, in tokens not in the prefix cache.
    token_count context = 0;                       ///< KV cache that the request needs, in tokens of context.
    duration predicted_first_token{0}; ///< Predicted time to first token, before the `slowness` correction.

    friend auto operator==(const dispatched_work&, const dispatched_work&) -> bool = default;
};

/// What this gateway knows of one upstream: the newest load report, corrected by its own attempts that the
/// report can't include yet.
class upstream_record
{
public:
    /// Maximum number of own attempts kept per upstream.
    static constexpr std::size_t max_in_flight = 4'096;

    /// Starts without a load report.
    explicit upstream_record(upstream_description description);

    /// Description from the bundle.
    [[nodiscard]] auto description() const -> const upstream_description& { return description_; }
    /// State according to membership.
    [[nodiscard]] auto state() const -> upstream_state { return state_; }
    /// Newest load report.
    [[nodiscard]] auto load() const -> const upstream_load& { return load_; }
    /// Whether a load report has been received.
    [[nodiscard]] auto has_load() const -> bool { return has_load_; }
    /// Age of the newest load report.
    [[nodiscard]] auto load_age(instant now) const -> duration { return now - measured_at_; }
    /// Whether the upstream accepts new work: neither drained, leaving nor dead.
    [[nodiscard]] auto takes_new_work() const -> bool;
    /// Whether it is drained, by operators or by its own sidecar.
    [[nodiscard]] auto drained() const -> bool { return drained_ || load_.draining; }
    /// Whether it serves the model, and the adapter if one is named.
    [[nodiscard]] auto serves(const model_id& model, const adapter_id& adapter) const -> bool;
    /// Queued prefill ahead of a request of class `size`, in tokens: that of its own class and of shorter
    /// classes.
    [[nodiscard]] auto queue_ahead(length_class size) const -> token_count;
    /// Queued prefill of one class, in tokens: the load report corrected by own work.
    [[nodiscard]] auto queued(length_class size) const -> token_count;
    /// Requests in decode: the reported number, or the own ones if these are more.
    [[nodiscard]] auto running() const -> std::int64_t;
    /// Own attempts in flight.
    [[nodiscard]] auto own_in_flight() const -> std::int64_t { return own_in_flight_; }
    /// KV cache free for a new request, in tokens; the maximum value if memory is no limit.
    [[nodiscard]] auto memory_free() const -> token_count;
    /// Whether another request of `cost` tokens would exceed the ramp limit of a cold upstream.
    [[nodiscard]] auto ramp_full(token_count cost) const -> bool;
    /// Moving average of observed over predicted time to first token. It corrects inaccurate load reports and
    /// a wrong prefill rate. It is kept per class, since the delay of long prompts that wait for shorter ones
    /// says nothing about the shorter ones.
    [[nodiscard]] auto slowness(length_class size) const -> double { return slowness_[index_of(size)]; }
    /// Hash of the upstream's id, for rendezvous hashing.
    [[nodiscard]] auto name_hash() const -> std::uint64_t { return name_hash_; }

    /// Replaces the description.
    void describe(upstream_description description);
    /// Sets the state according to membership.
    void set_state(upstream_state state) { state_ = state; }
    /// Sets whether operators have drained it.
    void set_drained(bool drained) { drained_ = drained; }
    /// Applies a load report; one that is older than the newest is ignored.
    void report(instant now, const upstream_load& load);
    /// Records an own attempt as sent. Returns false if `max_in_flight` attempts are recorded already.
    [[nodiscard]] auto sent(instant now, const dispatched_work& work) -> bool;
    /// Records the first token of an own attempt.
    void first_token(instant now, const request_id& request, attempt_number attempt);
    /// Records the end of an own attempt, whatever its outcome.
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
    class_tokens own_waiting_{};    // own prefill not finished
    class_tokens own_unreported_{}; // part of it sent after the load report was measured
    class_tokens own_done_since_{}; // own prefill included in the load report but finished since
    std::int64_t own_in_flight_ = 0;
    std::int64_t own_decoding_ = 0;
    token_count own_context_ = 0; // of own attempts in decode
};

} // namespace dragonflymill
