#pragma once

#include "dragonflymill/core/time.h"
#include "dragonflymill/direct/attempt_rules.h"
#include "dragonflymill/direct/load_tracker.h"
#include "dragonflymill/direct/peer_table.h"
#include "dragonflymill/direct/upstream_list.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace dragonflymill::direct {

/// An upstream that a gateway could not connect to, as it tells the other gateways.
struct unreachable_report
{
    upstream_key upstream = 0; ///< Hash of its id.
    duration age{};            ///< Since the failed attempt.

    friend auto operator==(const unreachable_report&, const unreachable_report&) -> bool = default;
};

/// Why a failure domain is believed to be out.
struct outage_evidence
{
    std::size_t upstreams = 0;       ///< Upstreams found unreachable.
    std::size_t witnesses = 0;       ///< Gateways, and engines that missed another one, that found them.
    std::size_t silent_gateways = 0; ///< Gateways in the domain that fell silent; 0 if any is heard.

    friend auto operator==(const outage_evidence&, const outage_evidence&) -> bool = default;
};

/// How a belief that a failure domain is out began or ended.
enum class outage_step
{
    began,
    answered, ///< An upstream of the domain answered this gateway.
    returned, ///< The domain's entries were published anew.
    gone,     ///< The domain has no upstreams left.
    aged,     ///< Nothing was found unreachable for `max_age`.
};

/// Name as written to logs.
[[nodiscard]] auto to_string(outage_step step) -> const char*;

/// A change of what is believed of a failure domain.
struct outage_change
{
    std::string failure_domain;
    outage_step step = outage_step::began;
    outage_evidence evidence; ///< On which the belief rests or rested.
    duration lasted{};        ///< Since the belief began.

    friend auto operator==(const outage_change&, const outage_change&) -> bool = default;
};

/// Decides from failed attempts of all gateways whether a failure domain is out, so that the calls of each
/// gateway avoid it before they have failed at each of its upstreams.
///
/// Nothing that a single other gateway or engine says suffices: the fault may be its own. An answer from the
/// domain outweighs everything found before it. A gateway that finds most domains out is cut off itself and
/// believes nothing.
class domain_outages
{
public:
    /// `own_domain` is the failure domain of this gateway; `seed` must differ between gateways.
    domain_outages(std::string own_domain, std::uint64_t seed)
        : own_domain_(std::move(own_domain))
        , seed_(seed)
    {
    }

    /// Records an attempt at `attempted` whose end is attributed to `at_fault`: the same upstream, or an
    /// engine that it could not reach.
    void attempt_ended(const upstream_entry& attempted, const upstream_entry& at_fault, attempt_end end,
                       instant now);
    /// Records bytes that this gateway received from an upstream.
    void answered(std::string_view upstream, instant now);

    /// Applies what another gateway found. Its ages are to the receipt, not older than `evidence_window`.
    void apply_reports(const std::string& gateway, const std::vector<unreachable_report>& reports,
                       instant now);
    /// Returns what this gateway found within `evidence_window`, the latest first; `max_reports` at most.
    [[nodiscard]] auto reports(instant now) const -> std::vector<unreachable_report>;
    /// Returns, once for each new finding that others may not know yet, whether they must be told at once.
    [[nodiscard]] auto take_urgent(instant now) -> bool;
    /// Removes what a gateway said that no longer runs.
    void remove_gateway(const std::string& gateway);

    /// Takes in which upstreams are published and which gateways are heard, and ends what is over; to be
    /// called regularly.
    void update(const upstream_list& fleet, const peer_table& peers, instant now);

    /// Records that a call is being sent to an upstream.
    void sent(upstream_key upstream, instant now);
    /// Returns whether calls should avoid an upstream as its failure domain is out; `own_calls` of this
    /// gateway are in flight there. Once the belief is due for a probe, a few upstreams of the domain are not
    /// avoided until one of them was sent a call. An upstream is not avoided if its service has no others
    /// outside such domains.
    [[nodiscard]] auto avoids(upstream_key upstream, int own_calls) const -> bool;
    /// Returns whether a failure domain is believed to be out.
    [[nodiscard]] auto is_out(const std::string& failure_domain) const -> bool;
    /// Number of failure domains believed to be out.
    [[nodiscard]] auto count() const -> std::size_t { return believed() ? out_count_ : 0; }
    /// Returns the changes since the last call.
    [[nodiscard]] auto take_changes() -> std::vector<outage_change> { return std::exchange(changes_, {}); }

    /// Time for which a failed attempt counts: a few connect timeouts, in which a gateway with few calls
    /// finds out too, and short enough for unrelated crashes to be rare.
    static constexpr duration evidence_window = 1s;
    /// Number of a domain's upstreams that must be found unreachable: two may crash together by chance.
    static constexpr std::size_t quorum = 3;
    /// The same if the domain's gateways have fallen silent too.
    static constexpr std::size_t quorum_if_silent = 2;
    /// Time without a digest after which a gateway counts as silent; idle ones send one each 400 ms.
    static constexpr duration gateway_silence = 600ms;
    /// Time from the last finding until a probe; up to a third more, as gateways should probe one after the
    /// other and tell the outcome.
    static constexpr duration probe_delay = 1500ms;
    /// Time after a probe was sent until the next may be, unless its outcome is known before: a connect
    /// timeout.
    static constexpr duration probe_turn = 250ms;
    /// Upstreams of a domain that take its probe: the policy prefers some, and a long prompt may use all.
    static constexpr std::size_t max_probes = 4;
    /// Time from a gateway's own last probe to the next, whatever others find.
    static constexpr duration max_probe_delay = 4s;
    /// Time since the last finding after which the belief ends without an answer.
    static constexpr duration max_age = 10s;
    /// Minimum time between two findings that are told at once; others go with the next digest.
    static constexpr duration urgent_interval = 30ms;
    /// Interval of updates: a look at all upstreams.
    static constexpr duration update_interval = 100ms;
    /// The same while nothing was found unreachable.
    static constexpr duration idle_update_interval = 500ms;
    /// Maximum number of findings in a digest; more than any quorum.
    static constexpr std::size_t max_reports = 6;

private:
    /// One upstream, found unreachable by one witness.
    struct finding
    {
        upstream_key upstream = 0;
        std::string witness; // empty: this gateway
        bool by_engine = false;
        instant at{};
    };
    struct outage
    {
        outage_evidence evidence;
        instant since{};
        instant last_found_at{};
        instant probed_at{}; // or since
        instant probe_at{};
        std::vector<upstream_key> probes; // one of them takes a call; empty: not due, or just sent
    };
    struct domain_state
    {
        std::vector<finding> findings;
        instant answered_at{};
        std::optional<outage> out;
    };
    /// A published upstream.
    struct member
    {
        std::string failure_domain;
        std::string service;
        upstream_run run = 0;
        instant since{}; // when this run was first seen
    };
    struct domain_size
    {
        std::size_t upstreams = 0; // that accept work
        std::size_t gateways = 0;
        std::size_t silent_gateways = 0;
    };

    void record(const std::string& domain, finding found, instant now);
    /// Returns the evidence against a domain if it suffices.
    [[nodiscard]] auto outage_of(const std::string& domain, const domain_state& state, instant now) const
        -> std::optional<outage_evidence>;
    [[nodiscard]] auto counts(const finding& found, const std::string& domain, const domain_state& state,
                              instant now) const -> bool;
    /// Returns whether a witness finds most domains unreachable, so that the fault may be its own.
    [[nodiscard]] auto blames_most(const std::string& witness, instant now) const -> bool;
    [[nodiscard]] auto silent_gateways(const std::string& domain) const -> std::size_t;
    /// Whether what is believed of single domains can be true of all of them.
    [[nodiscard]] auto believed() const -> bool { return out_count_ * 2 <= sizes_.size(); }
    void delay_probe(outage& out, instant now) const;
    void choose_probes(const std::string& domain, outage& out, instant now) const;
    void end(const std::string& domain, domain_state& state, outage_step step, instant now);
    void take_members(const upstream_list& fleet, instant now);
    void take_gateways(const peer_table& peers, instant now);
    [[nodiscard]] auto step_of_end(const std::string& domain, const outage& out, instant now) const
        -> std::optional<outage_step>;

    std::string own_domain_;
    std::uint64_t seed_;
    std::map<std::string, domain_state> states_; // with a finding or a belief
    std::unordered_map<upstream_key, member> members_;
    std::map<std::string, domain_size> sizes_;                     // with upstreams that accept work
    std::map<std::string, std::set<std::string>> service_domains_; // with upstreams that accept work
    std::size_t out_count_ = 0;
    std::vector<outage_change> changes_;
    instant updated_at_{};
    bool untold_ = false;
    instant told_at_{};
};

} // namespace dragonflymill::direct
