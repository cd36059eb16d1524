#include "dragonflymill/gang/gang_candidates.h"

#include <algorithm>

namespace dragonflymill {

namespace {

auto part_of(token_count whole, double share) -> token_count
{
    return static_cast<token_count>(static_cast<double>(whole) * share);
}

/// Returns the tokens that gangs may hold at an upstream: a fraction of its memory and of `max_outstanding`.
auto capacity_of(const upstream_description& description, double share) -> token_count
{
    const auto memory = part_of(description.memory, share);
    return description.max_outstanding == 0 ? memory
                                            : std::min(memory, part_of(description.max_outstanding, share));
}

/// Returns the free part of the capacity by the sidecar's last load report.
auto free_of(const upstream_record& record, token_count capacity, double share) -> token_count
{
    token_count free = std::min(capacity, record.memory_free());
    if (record.load().allowed > 0) {
        free = std::min(free, part_of(record.load().allowed, share) - record.load().outstanding);
    }
    return std::max<token_count>(0, free);
}

} // namespace

auto gang_candidates(const upstream_table& table, const model_id& model, const adapter_id& adapter,
                     double share) -> std::vector<gang_candidate>
{
    std::vector<gang_candidate> candidates;
    for (const auto& record : table.records()) {
        const auto& description = record.description();
        if (!record.serves(model, adapter) || !description.takes_bulk || description.memory == 0) {
            continue;
        }
        const auto capacity = capacity_of(description, share);
        // A cold upstream is a candidate, too: its sidecar refuses a share above the present allowance and
        // then sends warm-up requests. Otherwise an idle fleet would stay cold and never accept a gang.
        const bool usable = record.takes_new_work() && record.state() == upstream_state::alive;
        const token_count free = usable ? free_of(record, capacity, share) : 0;
        candidates.push_back({description.id, description.failure_domain, capacity, free});
    }
    return candidates;
}

auto needs_gang(const upstream_table& table, const model_id& model, const adapter_id& adapter,
                token_count tokens, double share) -> bool
{
    bool served = false;
    for (const auto& record : table.records()) {
        const auto& description = record.description();
        if (!record.serves(model, adapter)) {
            continue;
        }
        // A sidecar reserves a part of its allowance for shorter requests, so no request may use all of it.
        const bool bounded = description.max_outstanding != 0;
        const auto most = bounded ? std::min(description.memory, part_of(description.max_outstanding, share))
                                  : description.memory;
        if (description.memory == 0 || tokens <= most) {
            return false;
        }
        served = true;
    }
    return served;
}

} // namespace dragonflymill
