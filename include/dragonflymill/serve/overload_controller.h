#pragma once

#include "dragonflymill/overload/paused_work.h"
#include "dragonflymill/overload/shedding_policies.h"
#include "dragonflymill/route/upstream_table.h"
#include "dragonflymill/serve/gateway_messages.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace dragonflymill {

/// Settings of `overload_controller`.
struct overload_controller_settings
{
    duration drain_time = 30s; ///< Time to work off the queues, up to which nothing is refused or paused.
    duration review_interval = 50ms; ///< Interval between two reviews of running and paused work.
    std::uint64_t seed = 0;          ///< Seed of the random choice between requests of one class.
    paused_work_settings pause;      ///< Bounds of paused work, for each model.

    friend auto operator==(const overload_controller_settings&, const overload_controller_settings&)
        -> bool = default;
};

/// The request is accepted, but its work starts only when `overload_controller::review` resumes it.
struct defer_work
{
    friend auto operator==(const defer_work&, const defer_work&) -> bool = default;
};

/// Decision on an offered request.
using overload_answer = std::variant<admit_work, defer_work, refusal>;

/// Changes to make to requests in flight.
struct overload_review
{
    std::vector<exchange_number> pause;  ///< Cancel the attempts of these; the callers keep what they have.
    std::vector<exchange_number> resume; ///< Continue these now.

    friend auto operator==(const overload_review&, const overload_review&) -> bool = default;
};

/// Decides for one gateway which requests are refused, paused and resumed while the upstreams of a model have
/// more work than they can process. Each model is decided separately, since it has its own upstreams.
///
/// Bounds: one entry for each model of the bundle; one for each request of the gateway, removed by `ended` or
/// `left`; `paused_work_settings::max_paused` paused requests for each model. Above that bound new requests
/// are refused, and running ones are not paused.
template <overload_policy Policy>
class overload_controller
{
public:
    /// Keeps a reference to `upstreams`, which must outlive it.
    explicit overload_controller(const upstream_table& upstreams, overload_controller_settings settings = {});

    /// Applies the models and account weights of a new bundle.
    void bundle_adopted(const bundle& in_force);
    /// Decides on a new request. One that is not refused is tracked until `ended` or `left`.
    [[nodiscard]] auto offer(instant now, const gateway_input::completion_arrived& asked) -> overload_answer;
    /// Notes that an attempt of the request was sent to an upstream.
    void sent(exchange_number exchange);
    /// Notes the first token since the last attempt was sent: the prefill, which costs most, is done.
    void prefilled(exchange_number exchange);
    /// Notes the final answer of a request, and whether it came within the time limit.
    void ended(instant now, exchange_number exchange, bool in_time);
    /// Removes a request, for example after its caller disconnected.
    void left(exchange_number exchange);
    /// Returns the requests to pause and to resume. May be called often; it decides at most once in `review`.
    [[nodiscard]] auto review(instant now) -> overload_review;
    /// Stops pausing; the next review resumes everything that is paused.
    void stop() { stopping_ = true; }

    /// Returns how loaded the upstreams of a model are.
    [[nodiscard]] auto load(instant now, const model_id& model) const -> load_signal;
    /// Returns the number of requests in flight.
    [[nodiscard]] auto size() const -> std::size_t { return requests_.size(); }
    /// Returns the number of paused requests.
    [[nodiscard]] auto paused() const -> std::size_t;

private:
    struct tracked_request
    {
        running_work work;
        model_id model;
        bool prefilling = false;
    };
    struct model_work
    {
        Policy policy;
        paused_work paused;
    };

    [[nodiscard]] auto describe(instant now, const gateway_input::completion_arrived& asked) const
        -> offered_work;
    void pause_running(instant now, const load_signal& load, const model_id& model, model_work& state,
                       overload_review& review);
    void resume_paused(instant now, const load_signal& load, model_work& state, overload_review& review);

    const upstream_table& upstreams_;
    overload_controller_settings settings_;
    std::map<model_id, model_work> models_;                     // those of the bundle
    std::map<exchange_number, tracked_request> requests_;       // one for each request of the gateway
    std::map<request_id, exchange_number> exchange_by_request_; // one for each entry of requests_
    instant next_review_;
    bool stopping_ = false;
};

extern template class overload_controller<no_shedding>;
extern template class overload_controller<random_shedding>;
extern template class overload_controller<priority_shedding>;
extern template class overload_controller<contribution_shedding>;

/// The overload controller that gateways use.
using gateway_overload = overload_controller<contribution_shedding>;

} // namespace dragonflymill
