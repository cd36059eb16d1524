#pragma once

#include "dragonflymill/route/routing_policy.h"

#include <utility>

namespace dragonflymill {

/// Routing of a gateway: combines the upstream table, the prefix map and a policy, and keeps them consistent.
template <routing_policy Policy>
class router
{
public:
    explicit router(Policy policy, upstream_table_settings settings = {})
        : table_(settings)
        , policy_(std::move(policy))
    {
    }

    /// Upstream table, to which configuration, load reports, membership changes and drains are applied.
    [[nodiscard]] auto table() -> upstream_table& { return table_; }
    /// Upstream table, read-only.
    [[nodiscard]] auto table() const -> const upstream_table& { return table_; }
    /// Prefix cache estimate, to which cache events are applied.
    [[nodiscard]] auto prefixes() -> prefix_map& { return prefixes_; }

    /// Chooses an upstream. The table and the prefix map don't change until `sent` is called.
    [[nodiscard]] auto choose(instant now, const route_request& request) -> route_decision
    {
        return policy_.choose(now, request, table_, prefixes_);
    }

    /// Records that the request is sent to the chosen upstream. Returns false if that upstream has too many
    /// attempts in flight; the request must not be sent there then.
    [[nodiscard]] auto sent(instant now, const route_request& request, attempt_number attempt,
                            const route_choice& choice) -> bool
    {
        const dispatched_work work{request.id,
                                   attempt,
                                   choice.size,
                                   choice.prefill,
                                   request.prompt_tokens + request.max_tokens,
                                   choice.predicted_first_token};
        if (!table_.sent(now, choice.upstream, work)) {
            return false;
        }
        prefixes_.sent(choice.upstream, request.blocks);
        return true;
    }

    /// Applies a load report. A later incarnation of the engine clears its entries in the prefix map, since
    /// its cache is empty.
    void report(instant now, const upstream_id& upstream, const upstream_load& load)
    {
        const upstream_record* record = table_.find(upstream);
        if (record != nullptr && record->has_load() && load.start > record->load().start) {
            prefixes_.forget(upstream);
        }
        table_.report(now, upstream, load);
    }

private:
    upstream_table table_;
    prefix_map prefixes_;
    Policy policy_;
};

} // namespace dragonflymill
