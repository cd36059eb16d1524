#include "dragonflymill/route/predicted_first_token.h"

#include "dragonflymill/core/stable_hash.h"
#include "dragonflymill/route/first_token_prediction.h"

#include <algorithm>
#include <utility>

namespace dragonflymill {

namespace {

constexpr double microseconds_per_second = 1e6;

auto mix(std::uint64_t key, std::uint64_t name_hash) -> std::uint64_t
{
    std::uint64_t z = key ^ (name_hash * 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
}

auto queued_prefill(const upstream_record& record) -> double
{
    return static_cast<double>(record.queue_ahead(length_class::gang));
}

} // namespace

predicted_first_token::predicted_first_token(predicted_first_token_settings settings)
    : settings_(std::move(settings))
{
}

auto predicted_first_token::choose(instant now, const route_request& request, const upstream_table& table,
                                   const prefix_map& prefixes) -> route_decision
{
    table.candidates(request, list_);
    if (list_.upstreams.empty()) {
        return refuse_route(list_);
    }
    prefixes.lookup(request.blocks, matches_);
    cost_all(now, request);
    const upstream_record* home = home_of(request);
    const bool has_home_credit = home != nullptr && home_has_room(*home, request);
    if (has_home_credit) {
        const auto is_home = [home](const costed& each) { return each.record == home; };
        auto& entry = *std::find_if(costs_.begin(), costs_.end(), is_home);
        const auto blocks = static_cast<double>(std::min(settings_.home_blocks, request.blocks.size()));
        const auto assumed = static_cast<token_count>(blocks * settings_.home_credit * double(block_tokens));
        entry.cost = std::min(entry.cost, cost_of(now, request, *home, std::max(entry.cached, assumed)));
    }
    const costed& best = pick(request);
    route_reason reason =
        home != nullptr && !has_home_credit ? route_reason::left_home : route_reason::least_predicted;
    if (list_.upstreams.size() == 1) {
        reason = route_reason::only_candidate;
    }
    else if (best.cached > 0) {
        reason = route_reason::prefix_cached;
    }
    else if (has_home_credit && best.record == home) {
        reason = route_reason::prefix_home;
    }
    else if (best.record->load().cold) {
        reason = route_reason::cold_upstream;
    }
    return choose_route(*best.record, request, best.cached, reason);
}

void predicted_first_token::cost_all(instant now, const route_request& request)
{
    costs_.clear();
    for (const auto* record : list_.upstreams) {
        const token_count cached = cached_on(*record);
        costs_.push_back({record, cached, cost_of(now, request, *record, cached)});
    }
}

auto predicted_first_token::cost_of(instant now, const route_request& request, const upstream_record& record,
                                    token_count cached) const -> double
{
    const auto& description = record.description();
    const token_count prefill = std::max<token_count>(1, request.prompt_tokens - cached);
    const length_class size = class_on(record, request, prefill);
    double time =
        static_cast<double>(predict_first_token(record, size, prefill).count()) * record.slowness(size);
    if (record.load().cold) {
        time *= settings_.cold_factor;
    }
    if (!record.has_load() || record.load_age(now) > settings_.load_stale) {
        time += static_cast<double>(settings_.unknown_penalty.count());
    }
    const auto running = static_cast<double>(record.running());
    const double own =
        static_cast<double>(prefill) / std::max(1.0, description.prefill_rate) * microseconds_per_second;
    const double harm = settings_.harm_weight * running * own;
    const double decode = settings_.decode_weight * slower_decode(request, record);
    const bool fits = record.memory_free() >= request.prompt_tokens + request.max_tokens;
    const double memory_wait =
        fits ? 0.0 : queued_prefill(record) / description.prefill_rate * microseconds_per_second + own;
    const bool uses_reserved = !description.takes_bulk && size > length_class::interactive;
    const double reserved_cost = uses_reserved ? settings_.reserved_weight * own : 0.0;
    const auto round_trip = static_cast<double>(distance(record).count());
    return time + harm + decode + memory_wait + reserved_cost + round_trip;
}

auto predicted_first_token::slower_decode(const route_request& request, const upstream_record& record) const
    -> double
{
    const auto& description = record.description();
    const auto steps = static_cast<double>(std::min(request.max_tokens, settings_.typical_output));
    const auto chunk = static_cast<double>(std::max<token_count>(1, description.prefill_chunk));
    const double growth = static_cast<double>(description.decode_step_growth.count());
    const double batch = steps * growth * static_cast<double>(record.running());
    // An engine step that also prefills a chunk of a longer prompt takes longer by the chunk's prefill time.
    const double chunks = std::min(steps, queued_prefill(record) / chunk);
    return batch + chunks * chunk / std::max(1.0, description.prefill_rate) * microseconds_per_second;
}

auto predicted_first_token::distance(const upstream_record& record) const -> duration
{
    if (record.description().failure_domain == settings_.failure_domain) {
        return settings_.same_domain;
    }
    return record.description().region == settings_.region ? settings_.same_region : settings_.other_region;
}

auto predicted_first_token::cached_on(const upstream_record& record) const -> token_count
{
    for (const auto& match : matches_) {
        if (match.upstream_hash == record.name_hash()) {
            return match.tokens;
        }
    }
    return 0;
}

auto predicted_first_token::home_of(const route_request& request) const -> const upstream_record*
{
    if (settings_.home_blocks == 0 || request.blocks.size() < settings_.home_blocks) {
        return nullptr;
    }
    const std::uint64_t key = request.blocks[settings_.home_blocks - 1];
    const auto has_lower_score = [key](const costed& a, const costed& b) {
        return mix(key, a.record->name_hash()) < mix(key, b.record->name_hash());
    };
    return std::max_element(costs_.begin(), costs_.end(), has_lower_score)->record;
}

auto predicted_first_token::home_has_room(const upstream_record& home, const route_request& request) const
    -> bool
{
    double sum = static_cast<double>(request.prompt_tokens);
    for (const auto& each : costs_) {
        sum += queued_prefill(*each.record);
    }
    const double bound = settings_.home_load_bound * sum / static_cast<double>(costs_.size());
    return queued_prefill(home) <= std::max(bound, static_cast<double>(interactive_limit));
}

auto predicted_first_token::pick(const route_request& request) const -> const costed&
{
    double least_cost = costs_.front().cost;
    for (const auto& each : costs_) {
        least_cost = std::min(least_cost, each.cost);
    }
    const double tie_limit = least_cost * (1.0 + settings_.tie);
    const std::uint64_t key = stable_hash(request.id.text());
    const costed* best = nullptr;
    for (const auto& each : costs_) {
        const bool is_tied = each.cost <= tie_limit;
        const bool better =
            best == nullptr || mix(key, each.record->name_hash()) > mix(key, best->record->name_hash());
        best = is_tied && better ? &each : best;
    }
    return *best;
}

} // namespace dragonflymill
