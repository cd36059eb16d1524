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

/// Bounds of a gateway's overload decisions.
struct overload_controller_settings
{
    duration drain_time = 30s; ///< Time to work off what is queued, up to which nothing is refused or paused.
    duration review = 50ms;    ///< Time between two looks at what runs and what is paused.
    std::uint64_t seed = 0;    ///< Spreads the refusals over the requests of a class.
    paused_work_settings pause; ///< Bounds of what is paused, for each model.

    friend auto operator==(const overload_controller_settings&, const overload_controller_settings&)
        -> bool = default;
};

/// The request may come in, but its work starts later: `overload_controller::review` says when.
struct defer_work
{
    friend auto operator==(const defer_work&, const defer_work&) -> bool = default;
};

/// What becomes of a request that asks to come in.
using overload_answer = std::variant<admit_work, defer_work, refusal>;

/// What has to be done with work in hand.
struct overload_review
{
    std::vector<exchange_number> pause;  ///< Cancel the try of these, and keep what the caller has.
    std::vector<exchange_number> resume; ///< Go on with these now.

    friend auto operator==(const overload_review&, const overload_review&) -> bool = default;
};

/// Decides for one gateway what is refused, paused and resumed while the upstreams of a model have more work
/// than they can do. Each model is decided on its own, since its upstreams are.
///
/// Bounds: as many models as the bundle has; as many requests as the gateway holds, since each leaves by
/// `ended`; as many paused as `paused_work_settings` says, for each model: what comes above that is refused,
/// what runs goes on running.
template <overload_policy Policy>
class overload_controller
{
public:
    /// Looks at `upstreams`, which the owner keeps alive.
    explicit overload_controller(const upstream_table& upstreams, overload_controller_settings settings = {});

    /// Takes over models and weights of accounts.
    void bundle_adopted(const bundle& in_force);
    /// A request asks to come in. One that is not refused is in hand until `ended`.
    [[nodiscard]] auto offer(instant now, const gateway_input::completion_arrived& asked) -> overload_answer;
    /// A try of it was put to an upstream.
    void sent(exchange_number exchange);
    /// Its first token since then has come: what costs most is done.
    void prefilled(exchange_number exchange);
    /// It has its final answer, in its limit or not.
    void ended(instant now, exchange_number exchange, bool in_time);
    /// Its caller left.
    void left(exchange_number exchange);
    /// What is to be paused and resumed; asked often, answers at most once in `review`.
    [[nodiscard]] auto review(instant now) -> overload_review;
    /// The process stops: nothing is paused any more, and the next review resumes all that is.
    void stop() { stopping_ = true; }

    /// How loaded the upstreams of a model are.
    [[nodiscard]] auto load(instant now, const model_id& model) const -> load_signal;
    /// Requests in hand.
    [[nodiscard]] auto size() const -> std::size_t { return held_.size(); }
    /// Those of them that are paused.
    [[nodiscard]] auto paused() const -> std::size_t;

private:
    struct held_work
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

    [[nodiscard]] auto offered(instant now, const gateway_input::completion_arrived& asked) const
        -> offered_work;
    void pause_some(instant now, const load_signal& load, const model_id& model, model_work& held,
                    overload_review& review);
    void resume_some(instant now, const load_signal& load, model_work& held, overload_review& review);

    const upstream_table& upstreams_;
    overload_controller_settings settings_;
    std::map<model_id, model_work> models_;         // those of the bundle
    std::map<exchange_number, held_work> held_;     // in step with the requests of the gateway
    std::map<request_id, exchange_number> by_name_; // in step with held_
    instant next_review_;
    bool stopping_ = false;
};

extern template class overload_controller<no_shedding>;
extern template class overload_controller<random_shedding>;
extern template class overload_controller<priority_shedding>;
extern template class overload_controller<contribution_shedding>;

/// The overload decisions that gateways use.
using gateway_overload = overload_controller<contribution_shedding>;

} // namespace dragonflymill
