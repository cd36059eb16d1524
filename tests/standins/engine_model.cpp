#include "standins/engine_model.h"

#include <algorithm>
#include <cmath>

namespace dragonflymill::standins {

namespace {

constexpr unsigned accepted = 200;
constexpr unsigned not_loaded = 404;
constexpr unsigned already_held = 409;
constexpr unsigned too_large = 413;
constexpr unsigned no_memory = 429;
constexpr unsigned overloaded = 503;

constexpr std::size_t max_runs = 20'000;
// The memory of an imported span stays at its source; the importing engine uses only a fraction of its size.
constexpr token_count import_memory_divisor = 64;
// Factor on the prefill time of a cold engine.
constexpr double cold_prefill_slowdown = 3.0;
constexpr token_count context_unit = 100'000;

auto seconds(double value) -> duration
{
    return duration(static_cast<std::int64_t>(std::llround(value * 1e6)));
}

} // namespace

engine_model::engine_model(engine_settings settings)
    : settings_(std::move(settings))
    , cache_(settings_.cache_total, settings_.event_lag, settings_.event_loss, settings_.seed)
    , control_(settings_.models, settings_.order_time, settings_.honours_fence)
    , start_id_(settings_.seed * 1'000 + 1)
    , warmed_(settings_.starts_cold ? 0 : settings_.warm_after)
{
}

auto engine_model::advance(instant now) -> std::vector<engine_event>
{
    std::vector<engine_event> out = std::move(waiting_events_);
    waiting_events_.clear();
    while (step_end_ && *step_end_ <= now) {
        now_ = *step_end_;
        control_.advance(now_);
        report_load();
        finish_step(out);
        start_step();
    }
    now_ = std::max(now_, now);
    control_.advance(now_);
    report_load();
    return out;
}

auto engine_model::next_wake() const -> std::optional<instant>
{
    if (!waiting_events_.empty()) {
        return now_;
    }
    const auto loaded = control_.next_wake();
    if (!step_end_ || !loaded) {
        return step_end_ ? step_end_ : loaded;
    }
    return std::min(*step_end_, *loaded);
}

auto engine_model::refusal_of(const completion_order& order) const -> unsigned
{
    if (!up()) {
        return overloaded;
    }
    if (!control_.serves(order.model, order.adapter)) {
        return not_loaded;
    }
    const auto same = [&order](const auto& item) {
        return item.second.order.request_id == order.request_id && item.second.order.attempt == order.attempt;
    };
    if (std::any_of(works_.begin(), works_.end(), same)) {
        return already_held;
    }
    const auto need = order.prompt.tokens - imported_tokens(order) + order.max_tokens;
    if (need > settings_.memory_total) {
        return too_large;
    }
    if (memory_used() + need > settings_.memory_total) {
        return no_memory;
    }
    return works_.size() >= settings_.stream_limit ? overloaded : accepted;
}

auto engine_model::submit(const completion_order& order) -> std::pair<unsigned, work_id>
{
    const auto refusal = refusal_of(order);
    if (refusal != accepted) {
        return {refusal, 0};
    }
    const auto imported = imported_tokens(order);
    const auto cached = std::max(imported, cache_.cached_tokens(order.prompt));
    work item;
    item.order = order;
    item.context = order.prompt.tokens + order.resume_offset;
    // The last token of a prompt is always prefilled, since it yields the first token of the answer.
    item.prefill_left = std::max<token_count>(1, item.context - cached);
    item.memory = order.prompt.tokens - imported + order.max_tokens;
    item.next_offset = order.resume_offset;
    item.length = answer_length(order.model, order.prompt.hash, order.max_tokens);
    item.run = add_run(order, item.prefill_left);
    const auto id = ++last_work_;
    works_.emplace(id, std::move(item));
    check_cold_limit();
    if (!step_end_) {
        start_step();
    }
    return {accepted, id};
}

auto engine_model::cancel(const std::string& request_id) -> bool
{
    std::vector<work_id> ids;
    for (const auto& [id, item] : works_) {
        if (item.order.request_id == request_id) {
            ids.push_back(id);
        }
    }
    for (const auto id : ids) {
        end(id, "cancelled", waiting_events_);
    }
    return false;
}

void engine_model::detach(work_id id)
{
    if (const auto found = works_.find(id); found != works_.end()) {
        found->second.detached = true;
    }
}

auto engine_model::export_span(const std::string& request_id, const std::string& span, token_count tokens,
                               int priority) -> std::pair<unsigned, work_id>
{
    if (!up()) {
        return {overloaded, 0};
    }
    if (spans_.count(span) != 0) {
        return {already_held, 0};
    }
    if (memory_used() + tokens > settings_.memory_total) {
        return {no_memory, 0};
    }
    work item;
    item.order.request_id = request_id;
    item.order.priority = priority;
    item.span = span;
    item.prefill_left = std::max<token_count>(1, tokens);
    spans_[span] = {tokens, tokens};
    const auto id = ++last_work_;
    works_.emplace(id, std::move(item));
    check_cold_limit();
    if (!step_end_) {
        start_step();
    }
    return {accepted, id};
}

auto engine_model::import_span(const std::string& span, token_count tokens) -> unsigned
{
    if (!up()) {
        return overloaded;
    }
    const auto memory = (tokens + import_memory_divisor - 1) / import_memory_divisor;
    if (spans_.count(span) == 0 && memory_used() + memory > settings_.memory_total) {
        return no_memory;
    }
    spans_.try_emplace(span, span_entry{tokens, memory});
    return accepted;
}

void engine_model::release_span(const std::string& span)
{
    spans_.erase(span);
    for (auto it = works_.begin(); it != works_.end();) {
        it = it->second.span == span && !span.empty() ? works_.erase(it) : std::next(it);
    }
}

auto engine_model::give(const control_order& order) -> unsigned
{
    return up() ? control_.give(now_, order) : overloaded;
}

void engine_model::fall_over()
{
    for (auto& [id, item] : works_) {
        if (auto* run = run_of(item)) {
            run->outcome = "lost";
        }
        waiting_events_.push_back({engine_event::type::lost, id, 0, {}});
    }
    works_.clear();
    spans_.clear();
    cache_.clear();
    control_.restart();
    step_end_.reset();
    step_decodes_.clear();
    step_prefills_.clear();
    ++start_id_;
    warmed_ = 0;
    down_until_ = now_ + settings_.restart_time;
}

void engine_model::turn_cold()
{
    warmed_ = 0;
}

// An overloaded cold engine doesn't slow down but crashes and loses everything it holds.
void engine_model::check_cold_limit()
{
    if (!cold() || works_.size() < 2) {
        return;
    }
    const auto warmth = static_cast<double>(warmed_) / static_cast<double>(settings_.warm_after);
    const auto growth = static_cast<double>(settings_.memory_total - settings_.cold_tokens) * warmth;
    if (memory_used() > settings_.cold_tokens + static_cast<token_count>(growth)) {
        ++falls_;
        fall_over();
    }
}

void engine_model::warm_up(token_count tokens)
{
    warmed_ = std::min(settings_.warm_after, warmed_ + tokens);
}

auto engine_model::by_priority() const -> std::vector<work_id>
{
    std::vector<work_id> ids;
    for (const auto& [id, item] : works_) {
        if (!item.ended) {
            ids.push_back(id);
        }
    }
    std::stable_sort(ids.begin(), ids.end(), [this](work_id a, work_id b) {
        return works_.at(a).order.priority < works_.at(b).order.priority;
    });
    return ids;
}

void engine_model::plan_prefill()
{
    auto budget = settings_.chunk;
    for (const auto id : by_priority()) {
        const auto& item = works_.at(id);
        if (item.prefill_left == 0) {
            continue;
        }
        const auto tokens = std::min(budget, item.prefill_left);
        step_prefills_.push_back({id, tokens});
        budget -= tokens;
        if (budget == 0) {
            return;
        }
    }
}

void engine_model::start_step()
{
    step_decodes_.clear();
    step_prefills_.clear();
    token_count context = 0;
    for (const auto id : by_priority()) {
        const auto& item = works_.at(id);
        if (item.prefill_left == 0 && step_decodes_.size() < settings_.batch) {
            step_decodes_.push_back(id);
            context += item.context;
        }
    }
    plan_prefill();
    if (step_decodes_.empty() && step_prefills_.empty()) {
        step_end_.reset();
        return;
    }
    token_count prefill = 0;
    for (const auto& share : step_prefills_) {
        prefill += share.tokens;
    }
    const auto slowness = cold() ? cold_prefill_slowdown : 1.0;
    const auto length = settings_.step_base +
                        settings_.step_per_stream * static_cast<std::int64_t>(step_decodes_.size()) +
                        settings_.step_per_100k_context * context / context_unit +
                        seconds(static_cast<double>(prefill) * slowness / settings_.prefill_speed);
    step_end_ = now_ + length;
}

void engine_model::finish_step(std::vector<engine_event>& out)
{
    std::vector<work_id> decodes;
    std::vector<prefill_share> prefills;
    decodes.swap(step_decodes_);
    prefills.swap(step_prefills_);
    for (const auto id : decodes) {
        if (const auto found = works_.find(id); found != works_.end()) {
            warm_up(1);
            decode(id, found->second, out);
        }
    }
    for (const auto& share : prefills) {
        const auto found = works_.find(share.work);
        if (found == works_.end()) {
            continue;
        }
        auto& item = found->second;
        item.prefill_left -= share.tokens;
        warm_up(share.tokens);
        if (item.prefill_left > 0) {
            continue;
        }
        if (!item.span.empty()) {
            out.push_back({engine_event::type::exported, share.work, 0, item.span});
            works_.erase(found);
            continue;
        }
        cache_.store(item.order.prompt, now_);
        decode(share.work, item, out);
    }
}

void engine_model::decode(work_id id, work& item, std::vector<engine_event>& out)
{
    if (item.next_offset < item.length) {
        if (auto* run = run_of(item)) {
            ++run->decoded;
        }
        out.push_back({engine_event::type::token, id, item.next_offset,
                       answer_token(item.order.model, item.order.prompt.hash, item.next_offset)});
        ++item.next_offset;
        ++item.context;
    }
    if (item.next_offset >= item.length) {
        end(id, item.length == item.order.max_tokens ? "length" : "stop", out);
    }
}

void engine_model::end(work_id id, const std::string& reason, std::vector<engine_event>& out)
{
    auto& item = works_.at(id);
    if (!item.span.empty()) {
        spans_.erase(item.span); // the span is incomplete and can't be used
    }
    if (auto* run = run_of(item)) {
        run->outcome = reason;
    }
    out.push_back({engine_event::type::end, id, item.next_offset, reason});
    // The caller of a detached stream didn't receive its end, so its memory is held until it is cancelled.
    if (item.detached && reason != "cancelled") {
        item.ended = true;
        return;
    }
    works_.erase(id);
}

auto engine_model::queued_prefill() const -> token_count
{
    token_count out = 0;
    for (const auto& [id, item] : works_) {
        out += item.prefill_left;
    }
    return out;
}

auto engine_model::imported_tokens(const completion_order& order) const -> token_count
{
    token_count out = 0;
    for (const auto& name : order.kv_imports) {
        if (const auto found = spans_.find(name); found != spans_.end()) {
            out += found->second.tokens;
        }
    }
    return std::min(out, order.prompt.tokens);
}

void engine_model::report_load()
{
    if (now_ < sampled_load_.taken + settings_.load_lag) {
        return;
    }
    reported_load_ = sampled_load_;
    sampled_load_ = {now_, static_cast<token_count>(works_.size()), queued_prefill(), memory_used()};
}

auto engine_model::held() const -> std::vector<held_entry>
{
    std::vector<held_entry> out;
    for (const auto& [id, item] : works_) {
        if (item.span.empty()) {
            out.push_back({item.order.request_id, "stream", item.memory});
        }
    }
    for (const auto& [name, entry] : spans_) {
        out.push_back({name, "kv", entry.memory});
    }
    return out;
}

auto engine_model::memory_used() const -> token_count
{
    token_count out = 0;
    for (const auto& [id, item] : works_) {
        out += item.memory;
    }
    for (const auto& [name, entry] : spans_) {
        out += entry.memory;
    }
    return out;
}

auto engine_model::cache_events(std::uint64_t after) const -> std::vector<block_event>
{
    return cache_.events(after, now_);
}

auto engine_model::add_run(const completion_order& order, token_count prefill) -> std::size_t
{
    runs_.push_back({order.request_id, order.attempt, order.prompt.tokens, prefill, 0, "running"});
    if (runs_.size() > max_runs) {
        runs_.pop_front();
        ++forgotten_runs_;
    }
    return forgotten_runs_ + runs_.size() - 1;
}

auto engine_model::run_of(const work& item) -> run_entry*
{
    if (!item.span.empty() || item.run < forgotten_runs_) {
        return nullptr;
    }
    return &runs_[item.run - forgotten_runs_];
}

} // namespace dragonflymill::standins
