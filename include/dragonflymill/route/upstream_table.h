#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/core/refusal.h"
#include "dragonflymill/route/route_request.h"
#include "dragonflymill/route/upstream_record.h"

#include <set>
#include <span>
#include <vector>

namespace dragonflymill {

/// Settings of an upstream table.
struct upstream_table_settings
{
    std::size_t max_upstreams = 640;  ///< A larger configuration is rejected; the subset stays below it.
    duration probe_interval{500'000}; ///< Age of a load report after which the upstream is probed.
    std::size_t max_probes = 4;       ///< Maximum number of probes per call of `probes_due`.

    friend auto operator==(const upstream_table_settings&, const upstream_table_settings&) -> bool = default;
};

/// Upstreams eligible for a request, or why there are none.
struct candidate_list
{
    std::vector<const upstream_record*>
        upstreams; ///< Eligible upstreams, sorted by id; valid until the table changes.
    refusal_code obstacle = refusal_code::no_route; ///< Refusal reason if the list is empty.
};

/// Upstreams of one gateway's subset with their load and state.
class upstream_table
{
public:
    explicit upstream_table(upstream_table_settings settings = {})
        : settings_(settings)
    {
    }

    /// Sets the upstreams to the subset of a bundle; the state of those that remain is kept. Fails on too
    /// many upstreams or a duplicate id.
    [[nodiscard]] auto configure(std::vector<upstream_description> descriptions) -> result<void>;
    /// Applies a load report received with a response or a probe.
    void report(instant now, const upstream_id& upstream, const upstream_load& load);
    /// Sets the state of an upstream according to membership.
    void set_state(const upstream_id& upstream, upstream_state state);
    /// Drains one upstream, or ends its drain.
    void set_drained(const upstream_id& upstream, bool drained);
    /// Drains a failure domain, or ends its drain; also applies to upstreams configured later.
    void set_drained(const failure_domain_id& failure_domain, bool drained);
    /// Records an own attempt as sent. Returns false if the upstream is unknown or has too many attempts in
    /// flight; the attempt must not be sent then.
    [[nodiscard]] auto sent(instant now, const upstream_id& upstream, const dispatched_work& work) -> bool;
    /// Records the first token of an own attempt.
    void first_token(instant now, const upstream_id& upstream, const request_id& request,
                     attempt_number attempt);
    /// Records the end of an own attempt, whatever its outcome.
    void finished(instant now, const upstream_id& upstream, const request_id& request,
                  attempt_number attempt);

    /// Fills `list` with the upstreams eligible for the request; reuses its memory.
    void candidates(const route_request& request, candidate_list& list) const;
    /// Upstreams whose load report is older than `probe_interval`, the oldest first. Each is returned again
    /// only after another interval.
    [[nodiscard]] auto probes_due(instant now) -> std::vector<upstream_id>;
    /// Record of one upstream; null if it isn't in the subset.
    [[nodiscard]] auto find(const upstream_id& upstream) const -> const upstream_record*;
    /// All upstreams of the subset, sorted by id.
    [[nodiscard]] auto records() const -> std::span<const upstream_record> { return records_; }

private:
    [[nodiscard]] auto editable(const upstream_id& upstream) -> upstream_record*;
    void apply_drain(upstream_record& record) const;

    upstream_table_settings settings_;
    std::vector<upstream_record> records_;        // sorted by id
    std::vector<instant> probed_at_;              // same indices as records_
    std::set<upstream_id> drained_upstreams_;     // at most max_upstreams
    std::set<failure_domain_id> drained_domains_; // at most max_upstreams
};

} // namespace dragonflymill
