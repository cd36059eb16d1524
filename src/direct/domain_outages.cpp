#include "dragonflymill/direct/domain_outages.h"

#include <algorithm>

namespace dragonflymill::direct {

namespace {

/// Estimates of one finding's time differ by the time of the digests' travel.
constexpr duration date_tolerance = 200ms;
/// Findings that are kept of one witness and domain: what it says beyond them changes nothing.
constexpr auto max_findings_per_witness = static_cast<std::ptrdiff_t>(domain_outages::quorum);
/// Other witnesses of one upstream that are kept: one of them may be wrong. All gateways of a large fleet
/// find a single crashed upstream.
constexpr std::ptrdiff_t max_witnesses_per_upstream = 3;
/// Upstreams of a domain that a witness finds unreachable before it counts as blaming the domain.
constexpr std::ptrdiff_t min_blamed_upstreams = 2;
/// A gateway that falls silent alone says nothing of its domain.
constexpr std::size_t min_silent_gateways = 2;

} // namespace

auto to_string(outage_step step) -> const char*
{
    switch (step) {
    case outage_step::began:
        return "began";
    case outage_step::answered:
        return "answered";
    case outage_step::returned:
        return "returned";
    case outage_step::gone:
        return "gone";
    case outage_step::aged:
        return "aged";
    }
    return "aged";
}

void domain_outages::attempt_ended(const upstream_entry& attempted, const upstream_entry& at_fault,
                                   attempt_end end, instant now)
{
    switch (end) {
    case attempt_end::not_sent: {
        // Once the domain is believed to be out, the next digest is early enough.
        const auto known = states_.find(at_fault.failure_domain);
        untold_ = untold_ || known == states_.end() || !known->second.out;
        record(at_fault.failure_domain, {stable_hash(at_fault.id), "", false, now}, now);
        return;
    }
    case attempt_end::reader_lost:
        answered(attempted.id, now);
        record(at_fault.failure_domain, {stable_hash(at_fault.id), attempted.id, true, now}, now);
        return;
    case attempt_end::rejected:
    case attempt_end::misdirected:
    case attempt_end::failed:
        answered(attempted.id, now);
        return;
    case attempt_end::overtaken:
    case attempt_end::broken:
        return;
    }
}

void domain_outages::apply_reports(const std::string& gateway, const std::vector<unreachable_report>& reports,
                                   instant now)
{
    for (const unreachable_report& report : reports) {
        const auto found = members_.find(report.upstream);
        if (found != members_.end() && report.age >= duration::zero() && report.age <= evidence_window) {
            record(found->second.failure_domain, {report.upstream, gateway, false, now - report.age}, now);
        }
    }
}

void domain_outages::record(const std::string& domain, finding found, instant now)
{
    domain_state& state = states_[domain];
    std::vector<finding>& findings = state.findings;
    const auto is_same_witness = [&](const finding& other) {
        return other.witness == found.witness && other.by_engine == found.by_engine;
    };
    const auto same = std::find_if(findings.begin(), findings.end(), [&](const finding& other) {
        return is_same_witness(other) && other.upstream == found.upstream;
    });
    if (same != findings.end()) {
        if (found.at - same->at < (found.witness.empty() ? duration::zero() : date_tolerance)) {
            return;
        }
    }
    const auto is_other_of_upstream = [&](const finding& other) {
        return other.upstream == found.upstream && !other.witness.empty();
    };
    if (!found.witness.empty() && same == findings.end() &&
        std::count_if(findings.begin(), findings.end(), is_other_of_upstream) >= max_witnesses_per_upstream) {
        return;
    }
    if (same != findings.end()) {
        findings.erase(same);
    }
    else if (std::count_if(findings.begin(), findings.end(), is_same_witness) >= max_findings_per_witness) {
        findings.erase(std::find_if(findings.begin(), findings.end(), is_same_witness));
    }
    findings.push_back(found);
    if (!counts(found, domain, state, now)) {
        return;
    }
    if (state.out) {
        state.out->last_found_at = now;
        if (found.witness.empty()) {
            state.out->probed_at = now;
        }
        delay_probe(*state.out, now);
        return;
    }
    if (const auto evidence = outage_of(domain, state, now)) {
        state.out = outage{*evidence, now, now, now, {}, {}};
        delay_probe(*state.out, now);
        ++out_count_;
        changes_.push_back({domain, outage_step::began, *evidence, duration::zero()});
    }
}

auto domain_outages::counts(const finding& found, const std::string& domain, const domain_state& state,
                            instant now) const -> bool
{
    const bool is_own = found.witness.empty();
    // A gateway lives in its own domain; what others can't reach there may be their fault.
    return found.at > state.answered_at && now - found.at <= evidence_window &&
           (is_own || domain != own_domain_);
}

auto domain_outages::blames_most(const std::string& witness, instant now) const -> bool
{
    const auto blamed = std::count_if(states_.begin(), states_.end(), [&](const auto& item) {
        const auto& findings = item.second.findings;
        return std::count_if(findings.begin(), findings.end(), [&](const finding& found) {
                   return found.witness == witness && now - found.at <= evidence_window;
               }) >= min_blamed_upstreams;
    });
    return static_cast<std::size_t>(blamed) * 2 > sizes_.size();
}

auto domain_outages::silent_gateways(const std::string& domain) const -> std::size_t
{
    const auto size = sizes_.find(domain);
    if (size == sizes_.end() || size->second.silent_gateways < min_silent_gateways ||
        size->second.silent_gateways < size->second.gateways) {
        return 0;
    }
    // If most others are silent too, this gateway's view is at fault.
    std::size_t others = 0;
    std::size_t silent_others = 0;
    for (const auto& [name, other] : sizes_) {
        others += name == domain ? 0 : other.gateways;
        silent_others += name == domain ? 0 : other.silent_gateways;
    }
    return silent_others * 2 > others ? 0 : size->second.silent_gateways;
}

auto domain_outages::outage_of(const std::string& domain, const domain_state& state, instant now) const
    -> std::optional<outage_evidence>
{
    const auto size = sizes_.find(domain);
    if (size == sizes_.end()) {
        return std::nullopt;
    }
    const std::size_t silent = silent_gateways(domain);
    const std::size_t needed =
        std::max(quorum_if_silent, std::min(silent > 0 ? quorum_if_silent : quorum, size->second.upstreams));
    if (state.findings.size() < needed) {
        return std::nullopt;
    }
    std::map<upstream_key, std::set<std::string>> found;
    std::set<std::string> witnesses;
    for (const finding& item : state.findings) {
        const bool is_trusted = item.witness.empty() || !blames_most(item.witness, now);
        if (is_trusted && counts(item, domain, state, now)) {
            found[item.upstream].insert(item.witness);
            witnesses.insert(item.witness);
        }
    }
    if (found.size() < needed) {
        return std::nullopt;
    }
    // One other witness may be wrong, so the rest must nearly suffice without it.
    const bool rests_on_one = std::any_of(witnesses.begin(), witnesses.end(), [&](const std::string& one) {
        const auto only = std::count_if(found.begin(), found.end(), [&](const auto& item) {
            return item.second.size() == 1 && item.second.contains(one);
        });
        return !one.empty() && found.size() - static_cast<std::size_t>(only) < needed - 1;
    });
    return rests_on_one ? std::nullopt
                        : std::optional(outage_evidence{found.size(), witnesses.size(), silent});
}

void domain_outages::answered(std::string_view upstream, instant now)
{
    if (states_.empty()) {
        return;
    }
    const auto known = members_.find(stable_hash(upstream));
    const auto state = known == members_.end() ? states_.end() : states_.find(known->second.failure_domain);
    if (state == states_.end()) {
        return;
    }
    state->second.answered_at = now;
    if (state->second.out) {
        end(state->first, state->second, outage_step::answered, now);
    }
}

auto domain_outages::reports(instant now) const -> std::vector<unreachable_report>
{
    std::vector<unreachable_report> found;
    for (const auto& [domain, state] : states_) {
        for (const finding& item : state.findings) {
            if (item.witness.empty() && counts(item, domain, state, now)) {
                found.push_back({item.upstream, now - item.at});
            }
        }
    }
    std::sort(found.begin(), found.end(), [](const unreachable_report& a, const unreachable_report& b) {
        return std::pair(a.age, a.upstream) < std::pair(b.age, b.upstream);
    });
    found.resize(std::min(found.size(), max_reports));
    return found;
}

auto domain_outages::take_urgent(instant now) -> bool
{
    if (!untold_ || now - told_at_ < urgent_interval) {
        return false;
    }
    untold_ = false;
    told_at_ = now;
    return true;
}

void domain_outages::remove_gateway(const std::string& gateway)
{
    for (auto& [domain, state] : states_) {
        std::erase_if(state.findings,
                      [&](const finding& found) { return !found.by_engine && found.witness == gateway; });
    }
}

void domain_outages::delay_probe(outage& out, instant now) const
{
    const auto spread = static_cast<std::uint64_t>((probe_delay / 3).count());
    const duration jitter(static_cast<duration::rep>(mix_bits(seed_) % spread));
    out.probe_at =
        std::max(out.probe_at, std::min(now + probe_delay, out.probed_at + max_probe_delay) + jitter);
    out.probes.clear();
}

void domain_outages::choose_probes(const std::string& domain, outage& out, instant now) const
{
    // Those that got no call may be ones that the policy doesn't prefer.
    if (!out.probes.empty()) {
        out.probe_at = now;
    }
    // The order differs between gateways and between probes.
    const auto round = static_cast<std::uint64_t>(out.probe_at.time_since_epoch().count());
    out.probes.clear();
    for (const auto& [key, known] : members_) {
        if (known.failure_domain == domain) {
            out.probes.push_back(key);
        }
    }
    const auto rank = [&](upstream_key key) { return mix_bits(key ^ mix_bits(seed_ ^ round)); };
    std::sort(out.probes.begin(), out.probes.end(),
              [&](upstream_key a, upstream_key b) { return rank(a) < rank(b); });
    out.probes.resize(std::min(out.probes.size(), max_probes));
}

void domain_outages::sent(upstream_key upstream, instant now)
{
    if (out_count_ == 0) {
        return;
    }
    const auto known = members_.find(upstream);
    const auto state = known == members_.end() ? states_.end() : states_.find(known->second.failure_domain);
    if (state != states_.end() && state->second.out && !state->second.out->probes.empty()) {
        state->second.out->probes.clear();
        state->second.out->probe_at = now + probe_turn;
    }
}

void domain_outages::end(const std::string& domain, domain_state& state, outage_step step, instant now)
{
    changes_.push_back({domain, step, state.out->evidence, now - state.out->since});
    state.out.reset();
    --out_count_;
}

void domain_outages::take_members(const upstream_list& fleet, instant now)
{
    std::unordered_set<upstream_key> published;
    sizes_.clear();
    service_domains_.clear();
    for (const auto& [id, upstream] : fleet.upstreams()) {
        const upstream_entry& entry = upstream.entry;
        const upstream_run run = run_of(entry);
        published.insert(upstream.key);
        member& known = members_[upstream.key];
        if (known.run != run || known.failure_domain != entry.failure_domain) {
            known = {entry.failure_domain, entry.service, run, now};
        }
        if (fleet.accepts_work(upstream)) {
            ++sizes_[entry.failure_domain].upstreams;
            service_domains_[entry.service].insert(entry.failure_domain);
        }
    }
    std::erase_if(members_, [&](const auto& item) { return !published.contains(item.first); });
}

void domain_outages::take_gateways(const peer_table& peers, instant now)
{
    for (const auto& [name, peer] : peers.peers()) {
        const auto size = sizes_.find(peer.digest.failure_domain);
        if (size != sizes_.end() && !peer.digest.leaving) {
            ++size->second.gateways;
            size->second.silent_gateways += now - peer.last_received_at > gateway_silence ? 1 : 0;
        }
    }
}

auto domain_outages::step_of_end(const std::string& domain, const outage& out, instant now) const
    -> std::optional<outage_step>
{
    if (!sizes_.contains(domain)) {
        return outage_step::gone;
    }
    const bool all_returned = std::all_of(members_.begin(), members_.end(), [&](const auto& item) {
        return item.second.failure_domain != domain || item.second.since > out.since;
    });
    if (all_returned) {
        return outage_step::returned;
    }
    return now - out.last_found_at >= max_age ? std::optional(outage_step::aged) : std::nullopt;
}

void domain_outages::update(const upstream_list& fleet, const peer_table& peers, instant now)
{
    if (now - updated_at_ < (states_.empty() ? idle_update_interval : update_interval)) {
        return;
    }
    updated_at_ = now;
    take_members(fleet, now);
    take_gateways(peers, now);
    for (auto& [domain, state] : states_) {
        std::erase_if(state.findings, [&](const finding& found) { return now - found.at > evidence_window; });
        if (!state.out) {
            continue;
        }
        if (const auto step = step_of_end(domain, *state.out, now)) {
            end(domain, state, *step, now);
        }
        else if (now >= state.out->probe_at) {
            choose_probes(domain, *state.out, now);
        }
    }
    std::erase_if(states_, [&](const auto& item) {
        const domain_state& state = item.second;
        return state.findings.empty() && !state.out && now - state.answered_at > evidence_window;
    });
}

auto domain_outages::avoids(upstream_key upstream, int own_calls) const -> bool
{
    if (out_count_ == 0 || !believed()) {
        return false;
    }
    const auto known = members_.find(upstream);
    if (known == members_.end() || !is_out(known->second.failure_domain)) {
        return false;
    }
    const outage& out = *states_.at(known->second.failure_domain).out;
    const bool has_returned = known->second.since > out.since;
    const bool is_probe =
        own_calls == 0 && std::find(out.probes.begin(), out.probes.end(), upstream) != out.probes.end();
    if (has_returned || is_probe) {
        return false;
    }
    const auto domains = service_domains_.find(known->second.service);
    return domains != service_domains_.end() &&
           std::any_of(domains->second.begin(), domains->second.end(),
                       [&](const std::string& domain) { return !is_out(domain); });
}

auto domain_outages::is_out(const std::string& failure_domain) const -> bool
{
    const auto state = states_.find(failure_domain);
    return believed() && state != states_.end() && state->second.out.has_value();
}

} // namespace dragonflymill::direct
