#include "dragonflymill/serve/order_dispatcher.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

/// The end of a load is taken from the engine's report, so the tracker's timeout is practically disabled.
constexpr duration unlimited_answer_timeout = std::chrono::hours(24 * 365);

auto contains(const std::vector<model_id>& all, const model_id& one) -> bool
{
    return std::find(all.begin(), all.end(), one) != all.end();
}

auto tracker_options(const order_dispatcher_options& options) -> order_tracker_options
{
    auto made = options.tracker;
    made.answer_timeout = unlimited_answer_timeout;
    return made;
}

} // namespace

auto loading_group(const upstream_id& self, std::vector<sidecar_endpoint> endpoints,
                   std::size_t max_group_size) -> std::vector<sidecar_endpoint>
{
    std::sort(endpoints.begin(), endpoints.end(),
              [](const auto& a, const auto& b) { return a.upstream < b.upstream; });
    const auto own_entry = std::find_if(endpoints.begin(), endpoints.end(),
                                        [&](const auto& endpoint) { return endpoint.upstream == self; });
    const auto groups = (endpoints.size() + max_group_size - 1) / max_group_size;
    const auto own_index = static_cast<std::size_t>(own_entry - endpoints.begin());
    std::vector<sidecar_endpoint> group;
    for (std::size_t at = 0; at < endpoints.size(); ++at) {
        if (at % groups == own_index % groups) {
            group.push_back(std::move(endpoints[at]));
        }
    }
    return group;
}

order_dispatcher::order_dispatcher(const order_dispatcher_options& options, std::uint64_t seed)
    : options_(options)
    , tracker_(tracker_options(options), seed)
{
}

void order_dispatcher::declared(instant now, const sidecar_input::declared_changed& input)
{
    wanted_ = input.wanted;
    replicas_ = input.replicas;
    poll_.reset(); // its replicas may differ from those of the new bundle
    if (wanted_) {
        tracker_.declare(now, *wanted_);
    }
}

void order_dispatcher::engine_state_received(instant now, const sidecar_input::engine_reported& report)
{
    models_ = report.view.models;
    loading_ = report.loading;
    has_report_ = true;
    check_load_finished(now, report.view);
    tracker_.engine_state_received(report.view);
}

void order_dispatcher::check_load_finished(instant now, const engine_view& view)
{
    // A report read right after the order may still show the state before it.
    const bool accepted = sent_order_ && sent_order_->accepted_at &&
                          view.asked >= *sent_order_->accepted_at + options_.tracker.reread_delay;
    if (!accepted || contains(loading_, sent_order_->order.model)) {
        return;
    }
    end_order(now, contains(models_, sent_order_->order.model) ? order_result::done : order_result::failed);
}

void order_dispatcher::answered(instant now, const sidecar_input::order_answered& answer)
{
    if (!sent_order_ || sent_order_->number != answer.number || sent_order_->accepted_at) {
        return;
    }
    if (answer.how == order_result::done && sent_order_->order.kind == order_kind::load_model) {
        sent_order_->accepted_at = now;
        return;
    }
    end_order(now, answer.how);
}

void order_dispatcher::end_order(instant now, order_result how)
{
    sent_order_.reset();
    tracker_.answered(now, how);
}

void order_dispatcher::answered(const sidecar_input::sidecar_answered& answer)
{
    // An answer to an earlier poll shows an older state than this poll reports.
    if (!poll_ || answer.asked < poll_->asked) {
        return;
    }
    const auto other = poll_->others.find(answer.upstream);
    if (other != poll_->others.end()) {
        other->second = replica_answer{contains(answer.models, poll_->model),
                                       contains(answer.loading, poll_->model), answer.draining};
    }
}

auto order_dispatcher::loading() const -> std::vector<model_id>
{
    auto all = loading_;
    const bool load_ordered = sent_order_ && sent_order_->order.kind == order_kind::load_model;
    if (load_ordered && !contains(all, sent_order_->order.model) &&
        !contains(models_, sent_order_->order.model)) {
        all.push_back(sent_order_->order.model);
    }
    return all;
}

void order_dispatcher::tick(instant now, instant own_lease, std::vector<sidecar_action>& actions)
{
    tracker_.renew_own_lease(own_lease);
    if (sent_order_ && !sent_order_->accepted_at && now - sent_order_->sent_at >= options_.answer_timeout) {
        end_order(now, order_result::failed);
    }
    // A load that is in progress, perhaps ordered by a predecessor, has to finish first.
    if (!wanted_ || !has_report_ || sent_order_ || !loading_.empty()) {
        return;
    }
    poll_replicas_if_due(now, actions);
    const auto step = tracker_.next(now);
    const auto* order = std::get_if<engine_order>(&step);
    if (order == nullptr || !tracker_.sending(now, *order)) {
        return;
    }
    sent_order_ = sent_order{++order_count_, *order, now};
    actions.push_back(
        sidecar_output::send_order{order_count_, *order, std::min(now + options_.answer_timeout, own_lease)});
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

void order_dispatcher::poll_replicas_if_due(instant now, std::vector<sidecar_action>& actions)
{
    const auto model = due_model();
    if (!model) {
        poll_.reset();
        return;
    }
    const bool same_model = poll_ && poll_->model == *model;
    if (!same_model || now - poll_->asked >= options_.poll_interval) {
        poll_replicas(now, *model, actions);
    }
    report_replicas(now);
}

void order_dispatcher::poll_replicas(instant now, const model_id& model, std::vector<sidecar_action>& actions)
{
    poll_ = replica_poll{model, now, {}, false};
    const auto known = std::find_if(replicas_.begin(), replicas_.end(),
                                    [&](const auto& entry) { return entry.model == model; });
    if (known == replicas_.end()) {
        return;
    }
    auto endpoints = known->places;
    if (!is_wanted(model)) {
        // This replica is a member of the group until it has unloaded the model.
        endpoints.push_back({options_.self, {}});
    }
    for (auto& endpoint : loading_group(options_.self, std::move(endpoints), options_.max_group_size)) {
        if (endpoint.upstream != options_.self) {
            poll_->others.emplace(endpoint.upstream, std::nullopt);
            actions.push_back(sidecar_output::ask_sidecar{std::move(endpoint)});
        }
    }
}

void order_dispatcher::report_replicas(instant now)
{
    const auto& others = poll_->others;
    const auto answers = static_cast<std::size_t>(std::count_if(
        others.begin(), others.end(), [](const auto& other) { return other.second.has_value(); }));
    const bool finished = answers == others.size() || now - poll_->asked >= options_.poll_timeout;
    // Without any answer nothing is reported: the tracker then decides as an isolated replica.
    if (poll_->reported || !finished || (answers == 0 && !others.empty())) {
        return;
    }
    poll_->reported = true;
    replica_view view;
    view.seen = poll_->asked;
    view.configured = static_cast<std::uint32_t>(others.size()) + (is_wanted(poll_->model) ? 1U : 0U);
    std::vector<upstream_id> group{options_.self};
    for (const auto& [upstream, answer] : others) {
        // A draining replica that has the model need not be waited for, but it can't take over requests of an
        // engine that unloads the model.
        const bool ready = answer && answer->ready && (is_wanted(poll_->model) || !answer->draining);
        view.ready_others += ready ? 1U : 0U;
        view.loading_others += answer && answer->loading ? 1U : 0U;
        group.push_back(upstream);
    }
    view.last_to_load = last_to_load(options_.self, poll_->model, group);
    tracker_.replicas(poll_->model, view);
}

} // namespace dragonflymill
