#include "dragonflymill/serve/overload_controller.h"

#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/route/first_token_prediction.h"

#include <algorithm>
#include <concepts>
#include <utility>

namespace dragonflymill {

namespace {

auto work_priority_of(priority request_priority) -> work_priority
{
    switch (request_priority) {
    case priority::doorstep:
        return work_priority::urgent;
    case priority::standard:
        return work_priority::normal;
    case priority::overnight:
        return work_priority::overnight;
    }
    return work_priority::normal;
}

template <overload_policy Policy>
auto make_policy(std::uint64_t seed) -> Policy
{
    if constexpr (std::constructible_from<Policy, std::uint64_t>) {
        return Policy(seed);
    }
    else {
        return Policy();
    }
}

} // namespace

template <overload_policy Policy>
overload_controller<Policy>::overload_controller(const upstream_table& upstreams,
                                                 overload_controller_settings settings)
    : upstreams_(upstreams)
    , settings_(settings)
{
}

template <overload_policy Policy>
void overload_controller<Policy>::bundle_adopted(const bundle& in_force)
{
    const auto unlisted = [&in_force](const auto& each) {
        return std::none_of(in_force.models.begin(), in_force.models.end(),
                            [&each](const model_entry& model) { return model.id == each.first; });
    };
    // A model with paused work stays until that work has ended, even if the bundle no longer lists it.
    std::erase_if(models_,
                  [&unlisted](const auto& each) { return each.second.paused.size() == 0 && unlisted(each); });
    for (const auto& model : in_force.models) {
        const std::uint64_t seed = settings_.seed ^ stable_hash(model.id.text());
        auto& state =
            models_.try_emplace(model.id, model_work{make_policy<Policy>(seed), paused_work(settings_.pause)})
                .first->second;
        if constexpr (requires { state.policy.shares(); }) {
            for (const auto& account : in_force.accounts) {
                state.policy.shares().set_weight(account.id, account.weight);
            }
        }
    }
}

template <overload_policy Policy>
auto overload_controller<Policy>::load(instant now, const model_id& model) const -> load_signal
{
    duration all{0};
    duration::rep count = 0;
    for (const auto& record : upstreams_.records()) {
        if (record.takes_new_work() && record.serves(model, adapter_id())) {
            all += drain_time(now, record);
            ++count;
        }
    }
    return {count > 0 ? all / count : duration::zero(), settings_.drain_time};
}

template <overload_policy Policy>
auto overload_controller<Policy>::describe(instant now, const gateway_input::completion_arrived& asked) const
    -> offered_work
{
    token_count memory = 0;
    duration cost{0};
    for (const auto& record : upstreams_.records()) {
        if (record.serves(asked.model, adapter_id()) && record.description().memory > memory) {
            memory = record.description().memory;
            cost = prefill_time(record.description(), asked.prompt_tokens);
        }
    }
    return {asked.request,
            asked.account,
            work_priority_of(asked.request_priority),
            classify(asked.prompt_tokens, asked.prompt_tokens + asked.max_tokens, memory),
            cost,
            deadline_budget(now, asked.remaining())};
}

template <overload_policy Policy>
auto overload_controller<Policy>::offer(instant now, const gateway_input::completion_arrived& asked)
    -> overload_answer
{
    const auto found = models_.find(asked.model);
    if (found == models_.end()) {
        return admit_work{}; // routing returns the specific refusal
    }
    auto& model = found->second;
    const auto offer = describe(now, asked);
    const running_work full_cost{offer, offer.cost};
    overload_answer answer = admit_work{};
    // Prompts for several engines are bounded by the engines' own leases. Refusing them here as well gains
    // nothing for other requests and starves them.
    auto decided = offer.size == length_class::gang ? admission(admit_work{})
                                                    : model.policy.offer(now, offer, load(now, asked.model));
    if (auto* refused = std::get_if<refusal>(&decided)) {
        // Work that may wait and still finish within its limit is paused instead of refused, up to the bound
        // of paused work.
        if (stopping_ || !may_pause(now, full_cost) || !model.paused.add(full_cost)) {
            return std::move(*refused);
        }
        answer = defer_work{};
    }
    requests_.insert_or_assign(asked.exchange, tracked_request{full_cost, asked.model, false});
    exchange_by_request_.insert_or_assign(asked.request, asked.exchange);
    return answer;
}

template <overload_policy Policy>
void overload_controller<Policy>::sent(exchange_number exchange)
{
    const auto found = requests_.find(exchange);
    if (found != requests_.end()) {
        found->second.prefilling = true;
    }
}

template <overload_policy Policy>
void overload_controller<Policy>::prefilled(exchange_number exchange)
{
    const auto found = requests_.find(exchange);
    if (found != requests_.end()) {
        found->second.prefilling = false;
    }
}

template <overload_policy Policy>
void overload_controller<Policy>::ended(instant now, exchange_number exchange, bool in_time)
{
    const auto found = requests_.find(exchange);
    if (found == requests_.end()) {
        return;
    }
    const auto model = models_.find(found->second.model);
    if (model != models_.end()) {
        model->second.policy.ended(now, found->second.work.work, in_time);
    }
    left(exchange);
}

template <overload_policy Policy>
void overload_controller<Policy>::left(exchange_number exchange)
{
    const auto found = requests_.find(exchange);
    if (found == requests_.end()) {
        return;
    }
    const auto& request = found->second.work.work.request;
    const auto model = models_.find(found->second.model);
    if (model != models_.end()) {
        model->second.paused.remove(request);
    }
    exchange_by_request_.erase(request);
    requests_.erase(found);
}

template <overload_policy Policy>
auto overload_controller<Policy>::review(instant now) -> overload_review
{
    overload_review result;
    if (now < next_review_) {
        return result;
    }
    next_review_ = now + settings_.review_interval;
    for (auto& [model, state] : models_) {
        const auto signal = load(now, model);
        if (!stopping_ && signal.excess() > 0.0) {
            pause_running(now, signal, model, state, result);
        }
        resume_paused(now, signal, state, result);
    }
    return result;
}

template <overload_policy Policy>
void overload_controller<Policy>::pause_running(instant now, const load_signal& load, const model_id& model,
                                                model_work& state, overload_review& review)
{
    // Only before the first token: a paused request repeats its prefill, and decoding costs little.
    std::vector<running_work> running;
    for (const auto& [exchange, each] : requests_) {
        if (each.prefilling && each.model == model && each.work.work.size != length_class::gang) {
            running.push_back(each.work);
        }
    }
    for (const auto& request : state.policy.pause(now, load, running)) {
        const auto exchange = exchange_by_request_.at(request);
        if (state.paused.add(requests_.at(exchange).work)) {
            requests_.at(exchange).prefilling = false;
            review.pause.push_back(exchange);
        }
    }
}

template <overload_policy Policy>
void overload_controller<Policy>::resume_paused(instant now, const load_signal& load, model_work& state,
                                                overload_review& review)
{
    // A stopping gateway waits for everything in flight, so paused work is resumed at once. Its priority
    // orders it behind other work at the engine.
    auto due = stopping_ ? state.paused.take_all() : state.paused.due(now, load);
    // Requests past their time limit are ended by the limit's own timer.
    due.resume.insert(due.resume.end(), due.expire.begin(), due.expire.end());
    for (const auto& request : due.resume) {
        const auto found = exchange_by_request_.find(request);
        if (found != exchange_by_request_.end()) {
            review.resume.push_back(found->second);
        }
    }
}

template <overload_policy Policy>
auto overload_controller<Policy>::paused() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto& [model, state] : models_) {
        count += state.paused.size();
    }
    return count;
}

template class overload_controller<no_shedding>;
template class overload_controller<random_shedding>;
template class overload_controller<priority_shedding>;
template class overload_controller<contribution_shedding>;

} // namespace dragonflymill
