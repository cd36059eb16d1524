#include "dragonflymill/gang/gang_candidates.h"

#include <algorithm>

namespace dragonflymill {

auto gang_candidates(const upstream_table& table, const model_id& model, const adapter_id& adapter,
                     double share) -> std::vector<gang_candidate>
{
    std::vector<gang_candidate> candidates;
    for (const auto& record : table.records()) {
        const auto& description = record.description();
        if (!record.serves(model, adapter) || !description.takes_bulk || description.memory == 0) {
            continue;
        }
        const auto capacity = static_cast<token_count>(static_cast<double>(description.memory) * share);
        const bool usable =
            record.takes_new_work() && record.state() == upstream_state::alive && !record.load().cold;
        const token_count free = usable ? std::min(capacity, record.memory_free()) : 0;
        candidates.push_back({description.id, description.failure_domain, capacity, free});
    }
    return candidates;
}

} // namespace dragonflymill
