#include "dragonflymill/serve/order_dispatcher.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

/// A load is ended by what the engine lists, never by a wait of the keeper's.
constexpr duration until_engine_tells = std::chrono::hours(24 * 365);

auto contains(const std::vector<model_id>& all, const model_id& one) -> bool
{
    return std::find(all.begin(), all.end(), one) != all.end();
}

auto keeper_options(const order_dispatcher_options& options) -> order_tracker_options
{
    auto made = options.keeper;
    made.answer_timeout = until_engine_tells;
    return made;
}

} // namespace

auto loading_group(const upstream_id& self, std::vector<sidecar_place> places, std::size_t max_group)
    -> std::vector<sidecar_place>
{
    std::sort(places.begin(), places.end(),
              [](const auto& a, const auto& b) { return a.upstream < b.upstream; });
    const auto own =
        std::find_if(places.begin(), places.end(), [&](const auto& place) { return place.upstream == self; });
    const auto groups = (places.size() + max_group - 1) / max_group;
    const auto own_place = static_cast<std::size_t>(own - places.begin());
    std::vector<sidecar_place> group;
    for (std::size_t at = 0; at < places.size(); ++at) {
        if (at % groups == own_place % groups) {
            group.push_back(std::move(places[at]));
        }
    }
    return group;
}

order_dispatcher::order_dispatcher(const order_dispatcher_options& options, std::uint64_t seed)
    : options_(options)
    , keeper_(keeper_options(options), seed)
{
}

void order_dispatcher::declared(instant now, const sidecar_input::declared_changed& input)
{
    wanted_ = input.wanted;
    replicas_ = input.replicas;
    round_.reset(); // it may have asked others than those that count now
    if (wanted_) {
        keeper_.declare(now, *wanted_);
    }
}

void order_dispatcher::engine_state_received(instant now, const sidecar_input::engine_reported& report)
{
    models_ = report.view.models;
    loading_ = report.loading;
    read_ = true;
    look_at_load(now, report.view);
    keeper_.engine_state_received(report.view);
}

void order_dispatcher::look_at_load(instant now, const engine_view& view)
{
    // A look taken right after the order may still tell of the engine as it was before.
    const bool taken = given_ && given_->taken && view.asked >= *given_->taken + options_.keeper.reread_delay;
    if (!taken || contains(loading_, given_->order.model)) {
        return;
    }
    end_order(now, contains(models_, given_->order.model) ? order_result::done : order_result::failed);
}

void order_dispatcher::answered(instant now, const sidecar_input::order_answered& answer)
{
    if (!given_ || given_->number != answer.number || given_->taken) {
        return;
    }
    if (answer.how == order_result::done && given_->order.kind == order_kind::load_model) {
        given_->taken = now;
        return;
    }
    end_order(now, answer.how);
}

void order_dispatcher::end_order(instant now, order_result how)
{
    given_.reset();
    keeper_.answered(now, how);
}

void order_dispatcher::answered(const sidecar_input::sidecar_answered& answer)
{
    // An answer to an earlier round's question tells of an earlier time than this round claims.
    if (!round_ || answer.asked < round_->asked) {
        return;
    }
    const auto other = round_->others.find(answer.upstream);
    if (other != round_->others.end()) {
        other->second = replica_answer{contains(answer.models, round_->model),
                                       contains(answer.loading, round_->model), answer.draining};
    }
}

auto order_dispatcher::loading() const -> std::vector<model_id>
{
    auto all = loading_;
    const bool load_given = given_ && given_->order.kind == order_kind::load_model;
    if (load_given && !contains(all, given_->order.model) && !contains(models_, given_->order.model)) {
        all.push_back(given_->order.model);
    }
    return all;
}

void order_dispatcher::tick(instant now, instant own_lease, std::vector<sidecar_action>& actions)
{
    keeper_.renew_own_lease(own_lease);
    if (given_ && !given_->taken && now - given_->sent >= options_.answer_timeout) {
        end_order(now, order_result::failed);
    }
    // What the engine is loading, perhaps at a predecessor's word, has to come to its end first.
    if (!wanted_ || !read_ || given_ || !loading_.empty()) {
        return;
    }
    look_at_replicas(now, actions);
    const auto step = keeper_.next(now);
    const auto* order = std::get_if<engine_order>(&step);
    if (order == nullptr || !keeper_.sending(now, *order)) {
        return;
    }
    given_ = given_order{++orders_, *order, now};
    actions.push_back(
        sidecar_output::send_order{orders_, *order, std::min(now + options_.answer_timeout, own_lease)});
}

auto order_dispatcher::is_wanted(const model_id& model) const -> bool
{
    return contains(wanted_->models, model);
}

auto order_dispatcher::due_model() const -> std::optional<model_id>
{
    const auto extra =
        std::find_if(models_.begin(), models_.end(), [this](const auto& model) { return !is_wanted(model); });
    if (extra != models_.end()) {
        return *extra;
    }
    const auto missing = std::find_if(wanted_->models.begin(), wanted_->models.end(),
                                      [this](const auto& model) { return !contains(models_, model); });
    return missing == wanted_->models.end() ? std::nullopt : std::optional(*missing);
}

void order_dispatcher::look_at_replicas(instant now, std::vector<sidecar_action>& actions)
{
    const auto model = due_model();
    if (!model) {
        round_.reset();
        return;
    }
    const bool same = round_ && round_->model == *model;
    if (!same || now - round_->asked >= options_.ask_interval) {
        ask_replicas(now, *model, actions);
    }
    tell_replicas(now);
}

void order_dispatcher::ask_replicas(instant now, const model_id& model, std::vector<sidecar_action>& actions)
{
    round_ = question_round{model, now, {}, false};
    const auto known = std::find_if(replicas_.begin(), replicas_.end(),
                                    [&](const auto& entry) { return entry.model == model; });
    if (known == replicas_.end()) {
        return;
    }
    auto places = known->places;
    if (!is_wanted(model)) {
        places.push_back({options_.self, {}}); // it takes its place among those that keep the model
    }
    for (auto& place : loading_group(options_.self, std::move(places), options_.max_group)) {
        if (place.upstream != options_.self) {
            round_->others.emplace(place.upstream, std::nullopt);
            actions.push_back(sidecar_output::ask_sidecar{std::move(place)});
        }
    }
}

void order_dispatcher::tell_replicas(instant now)
{
    const auto& others = round_->others;
    const auto answers = static_cast<std::size_t>(std::count_if(
        others.begin(), others.end(), [](const auto& other) { return other.second.has_value(); }));
    const bool over = answers == others.size() || now - round_->asked >= options_.ask_limit;
    // Without a word from anybody the keeper has to know that it is on its own.
    if (round_->told || !over || (answers == 0 && !others.empty())) {
        return;
    }
    round_->told = true;
    replica_view view;
    view.seen = round_->asked;
    view.configured = static_cast<std::uint32_t>(others.size()) + (is_wanted(round_->model) ? 1U : 0U);
    std::vector<upstream_id> group{options_.self};
    for (const auto& [upstream, answer] : others) {
        // One that takes no new work has the model and needn't be waited for, but can't take over its
        // requests.
        const bool ready = answer && answer->ready && (is_wanted(round_->model) || !answer->draining);
        view.ready_others += ready ? 1U : 0U;
        view.loading_others += answer && answer->loading ? 1U : 0U;
        group.push_back(upstream);
    }
    view.last_to_load = last_to_load(options_.self, round_->model, group);
    keeper_.replicas(round_->model, view);
}

} // namespace dragonflymill
