#pragma once

#include "dragonflymill/route/routing_policy.h"

#include <utility>

namespace dragonflymill {

/// A gateway's routing: the table, the prefix map and a policy, kept in step with each other.
template <routing_policy Policy>
class router
{
public:
    /// Starts with an empty table.
    explicit router(Policy policy, upstream_table_settings settings = {})
        : table_(settings)
        , policy_(std::move(policy))
    {
    }

    /// The upstreams; configuration, load words, membership and drains go in here.
    [[nodiscard]] auto table() -> upstream_table& { return table_; }
    /// The upstreams.
    [[nodiscard]] auto table() const -> const upstream_table& { return table_; }
    /// What is likely cached where; cache events go in here.
    [[nodiscard]] auto prefixes() -> prefix_map& { return prefixes_; }

    /// Chooses an upstream; nothing is noted until `sent`.
    [[nodiscard]] auto choose(instant now, const route_request& request) -> route_decision
    {
        return policy_.choose(now, request, table_, prefixes_);
    }

    /// Notes that the request goes to the upstream chosen; false if it has too many tries in flight: then the
    /// request may not be sent there.
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

    /// Takes in a load word; an engine that restarted has an empty cache.
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
