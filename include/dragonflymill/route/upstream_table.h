#pragma once

#include "dragonflymill/core/error.h"
#include "dragonflymill/core/refusal.h"
#include "dragonflymill/route/route_request.h"
#include "dragonflymill/route/upstream_record.h"

#include <set>
#include <span>
#include <vector>

namespace dragonflymill {

/// Bounds and times of an upstream table.
struct upstream_table_settings
{
    std::size_t max_upstreams = 640;  ///< More than these are refused; the subset keeps below it.
    duration probe_interval{500'000}; ///< A load word older than this is asked for anew.
    std::size_t max_probes = 4;       ///< Probes that one call of `probes_due` asks for.

    friend auto operator==(const upstream_table_settings&, const upstream_table_settings&) -> bool = default;
};

/// Which upstreams may take a request, or why none may.
struct candidate_list
{
    std::vector<const upstream_record*>
        upstreams; ///< Those that may, by name; valid until the table changes.
    refusal_code obstacle = refusal_code::no_route; ///< Why there is none.
};

/// What one gateway knows of the upstreams in its subset.
class upstream_table
{
public:
    /// An empty table.
    explicit upstream_table(upstream_table_settings settings = {})
        : settings_(settings)
    {
    }

    /// Takes over the subset of a bundle. What is known of upstreams that stay is kept.
    [[nodiscard]] auto configure(std::vector<upstream_description> descriptions) -> result<void>;
    /// Takes over a load word from an answer or a probe.
    void report(instant now, const upstream_id& upstream, const upstream_load& load);
    /// Takes over membership's word.
    void set_state(const upstream_id& upstream, upstream_state state);
    /// Takes one upstream out, or back in.
    void set_drained(const upstream_id& upstream, bool drained);
    /// Takes a failure domain out, or back in; holds also for upstreams configured later.
    void set_drained(const failure_domain_id& failure_domain, bool drained);
    /// Notes own work sent; false if the bound of tries in flight there is reached: then it may not be sent.
    [[nodiscard]] auto sent(instant now, const upstream_id& upstream, const dispatched_work& work) -> bool;
    /// Notes the first token of own work.
    void first_token(instant now, const upstream_id& upstream, const request_id& request,
                     attempt_number attempt);
    /// Notes the end, of any kind, of own work.
    void finished(instant now, const upstream_id& upstream, const request_id& request,
                  attempt_number attempt);

    /// Fills `list` with the upstreams that may take the request; reuses its memory.
    void candidates(const route_request& request, candidate_list& list) const;
    /// Upstreams whose load word is too old, the oldest first; each is named again only after another
    /// interval.
    [[nodiscard]] auto probes_due(instant now) -> std::vector<upstream_id>;
    /// What is known of one upstream; null if it is not in the subset.
    [[nodiscard]] auto find(const upstream_id& upstream) const -> const upstream_record*;
    /// Every upstream of the subset, by name.
    [[nodiscard]] auto records() const -> std::span<const upstream_record> { return records_; }

private:
    [[nodiscard]] auto editable(const upstream_id& upstream) -> upstream_record*;
    void apply_drain(upstream_record& record) const;

    upstream_table_settings settings_;
    std::vector<upstream_record> records_;        // by name
    std::vector<instant> probed_at_;              // same index as records_
    std::set<upstream_id> drained_upstreams_;     // at most max_upstreams
    std::set<failure_domain_id> drained_domains_; // at most max_upstreams
};

} // namespace dragonflymill
