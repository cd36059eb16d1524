#include "dragonflymill/limit/account_limiter.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dragonflymill {

namespace {

auto home_among(const std::vector<process_id>& gateways, const client_account_id& account) -> process_id
{
    const auto key = stable_hash(account.text());
    process_id best;
    std::uint64_t best_score = 0;
    for (const auto& gateway : gateways) {
        const auto score = rendezvous_score(key, gateway.text());
        if (best.empty() || score > best_score) {
            best = gateway;
            best_score = score;
        }
    }
    return best;
}

auto refused(refusal_code code, duration retry_after, const char* remedy) -> refusal
{
    return {code, ran_state::no, retry_after, remedy};
}

constexpr duration busy_retry_after = 200ms;

} // namespace

account_limiter::account_limiter(account_limiter_settings settings, instant now)
    : settings_(std::move(settings))
    , gateways_{settings_.self}
    , gateways_changed_(now)
{
}

void account_limiter::bundle_adopted(instant now, const bundle& value)
{
    accounts_.clear();
    for (const auto& account : value.accounts) {
        accounts_[account.id] = account;
    }
    std::erase_if(tracked_, [this](const auto& entry) {
        return !accounts_.contains(entry.first) && entry.second.in_flight == 0;
    });
    for (auto& [id, state] : tracked_) {
        if (const auto* entry = entry_of(id)) {
            apply_part(now, *entry, state);
        }
    }
}

void account_limiter::gateways_changed(instant now, std::vector<process_id> live, std::size_t configured)
{
    configured_ = std::max({configured, live.size(), std::size_t{1}});
    std::sort(live.begin(), live.end());
    if (live != gateways_) {
        gateways_before_ = std::exchange(gateways_, std::move(live));
        gateways_changed_ = now;
        for (auto& [id, state] : tracked_) {
            state.home = process_id();
        }
    }
}

auto account_limiter::admit(instant now, const client_account_id& account, token_count tokens)
    -> std::optional<refusal>
{
    const auto* entry = entry_of(account);
    if (entry == nullptr) {
        return refused(refusal_code::account_limit, 0s, "ask the operators for a client account");
    }
    auto& state = track(now, *entry);
    state.last_used = now;
    state.demand.add(now, std::max(1 / entry->requests_per_second,
                                   static_cast<double>(tokens) / entry->tokens_per_second));
    apply_part(now, *entry, state);
    const auto most = std::max(1.0, std::floor(part_of(now, state) * entry->max_in_flight));
    if (state.in_flight >= most) {
        return refused(refusal_code::account_limit, busy_retry_after,
                       "wait for one of the requests under way");
    }
    if (!state.requests.is_open(now) || !state.tokens.is_open(now)) {
        auto wait = std::max(state.requests.wait(), state.tokens.wait());
        if (part_of(now, state) <= 0) {
            // Another gateway has leased all of it; the parts are assigned anew at the end of that lease at
            // the latest.
            wait = std::min(wait, settings_.lease_time);
        }
        return refused(refusal_code::account_limit, wait, "send fewer requests, or ask for a higher limit");
    }
    state.requests.take(1);
    state.tokens.take(static_cast<double>(tokens));
    ++state.in_flight;
    return std::nullopt;
}

void account_limiter::done(instant now, const client_account_id& account, token_count tokens)
{
    const auto found = tracked_.find(account);
    if (found == tracked_.end()) {
        return;
    }
    auto& state = found->second;
    state.in_flight -= state.in_flight > 0 ? 1 : 0;
    state.last_used = now;
    state.tokens.take(static_cast<double>(tokens));
}

auto account_limiter::home_of(const client_account_id& account, tracked& state) -> const process_id&
{
    if (state.home.empty()) {
        state.home = home(account);
    }
    return state.home;
}

auto account_limiter::is_request_due(instant now, tracked& state) const -> bool
{
    if (!state.demand.has_unreported_demand()) {
        return false; // a lease without requests is left to expire
    }
    if (!state.requested_at) {
        return true;
    }
    if (now - *state.requested_at < settings_.request_interval) {
        return false;
    }
    return now >= state.renew_at || !state.demand.is_near_reported(now);
}

auto account_limiter::tick(instant now) -> std::vector<ask_shares>
{
    std::erase_if(tracked_, [&](const auto& entry) {
        return entry.second.in_flight == 0 && now - entry.second.last_used >= settings_.idle_timeout;
    });
    std::map<process_id, std::vector<share_request>> due;
    for (auto& [id, state] : tracked_) {
        if (is_request_due(now, state)) {
            state.requested_at = now;
            const auto held = state.lease_end > now ? state.part : 0;
            due[home_of(id, state)].push_back({id, settings_.self, state.demand.report(now), held});
        }
    }
    std::vector<ask_shares> asked;
    asked.reserve(due.size());
    for (auto& [home, requests] : due) {
        asked.push_back({home, std::move(requests), now});
    }
    return asked;
}

auto account_limiter::grant_share(instant now, const share_request& request) -> share_grant
{
    if (home(request.account) != settings_.self) {
        // Two homes at the same time would each grant the whole limit. The requester receives the gateway
        // that this process considers the home; until the views agree, leases expire and gateways use their
        // equal part.
        return {request.account, home(request.account), false, 0, 0s};
    }
    auto grant = home_.grant(now, request, rules(now, request.account));
    grant.home = settings_.self;
    return grant;
}

void account_limiter::share_granted(instant now, const share_grant& grant, instant asked)
{
    const auto found = tracked_.find(grant.account);
    const auto* entry = entry_of(grant.account);
    if (found == tracked_.end() || entry == nullptr || !grant.is_home || !found->second.requested_at) {
        return;
    }
    auto& state = found->second;
    const bool valid = grant.part >= 0 && grant.part <= 1 && grant.lease <= settings_.lease_time;
    if (!valid || grant.home != home(grant.account)) {
        return;
    }
    // The lease counts from the request: an answer that was delayed, or that waited while this process was
    // paused, must not be used longer than the home has recorded. An answer overtaken by a later one states a
    // part that the home no longer reserves.
    if (asked < state.newest_answer) {
        return;
    }
    state.newest_answer = asked;
    state.part = grant.part;
    state.lease_end = asked + grant.lease;
    state.renew_at = asked + grant.lease / 2;
    apply_part(now, *entry, state);
}

auto account_limiter::home(const client_account_id& account) const -> process_id
{
    return home_among(gateways_, account);
}

auto account_limiter::part(instant now, const client_account_id& account) const -> double
{
    const auto found = tracked_.find(account);
    return found == tracked_.end() ? equal_part() : part_of(now, found->second);
}

auto account_limiter::entry_of(const client_account_id& account) const -> const account_entry*
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? nullptr : &found->second;
}

auto account_limiter::track(instant now, const account_entry& entry) -> tracked&
{
    if (tracked_.size() >= settings_.max_accounts && !tracked_.contains(entry.id)) {
        tracked_.erase(std::min_element(tracked_.begin(), tracked_.end(), [](const auto& a, const auto& b) {
            return a.second.last_used < b.second.last_used;
        }));
    }
    const auto [found, added] = tracked_.try_emplace(entry.id);
    if (added) {
        apply_part(now, entry, found->second);
    }
    return found->second;
}

auto account_limiter::equal_part() const -> double
{
    return 1.0 / static_cast<double>(configured_);
}

// Guards against limits that grow when gateways lose contact: an account would get its limit once in each
// part of the partition. A gateway without a lease uses no more than if all the others were present.
auto account_limiter::part_of(instant now, const tracked& state) const -> double
{
    return state.lease_end > now ? std::min(1.0, state.part + settings_.unleased_part * equal_part())
                                 : equal_part();
}

auto account_limiter::rules(instant now, const client_account_id& account) const -> share_rules
{
    share_rules rules;
    rules.lease = settings_.lease_time;
    rules.equal_part = equal_part();
    if (2 * gateways_.size() <= configured_) {
        rules.total = static_cast<double>(gateways_.size()) * equal_part();
    }
    // Guards against a gateway that joins while another holds the whole limit on a lease: it would refuse
    // every request of the account until that lease is assigned anew. The part that is not leased is
    // available to every gateway at any time.
    rules.total *= 1 - settings_.unleased_part;
    // Views of the live gateways differ for a while after a change; one request interval more covers that.
    const bool recent = now - gateways_changed_ < settings_.lease_time + settings_.request_interval;
    rules.renewals_only = recent && home_among(gateways_before_, account) != settings_.self;
    return rules;
}

void account_limiter::apply_part(instant now, const account_entry& entry, tracked& state)
{
    const auto part = part_of(now, state);
    state.requests.set_rate(now, entry.requests_per_second * part, settings_.burst);
    state.tokens.set_rate(now, entry.tokens_per_second * part, settings_.burst);
}

} // namespace dragonflymill
