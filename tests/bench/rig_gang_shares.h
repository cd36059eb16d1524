#pragma once

#include "dragonflymill/gang/gang_planner.h"
#include "rig_engine.h"

#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace dragonflymill::rig {

/// Memory reserved for gangs at each engine, and the gang that waits in its queue.
class gang_shares
{
public:
    /// Reserves at `engines`, which must outlive this object; with `one_queue` gangs never wait in a queue.
    gang_shares(std::vector<engine>& engines, bool one_queue)
        : engines_(engines)
        , lines_(engines.size())
        , one_queue_(one_queue)
    {
    }

    /// Grants or refuses a gang's request for a share of engine `i`.
    auto reserve(instant now, std::size_t i, const reserve_share& wanted)
        -> std::variant<share_granted, share_refused>
    {
        if (engines_[i].memory_for(length_class::gang) < wanted.tokens) {
            return refuse(now, i, wanted);
        }
        leave_line(now, i, wanted.gang);
        engines_[i].reserve(wanted.tokens);
        held_[{wanted.gang, i}] = wanted.tokens;
        return share_granted{wanted.gang, wanted.upstream, lease_id(1), wanted.ask};
    }

    /// Releases a share and the place in the queue.
    void release(instant now, std::size_t i, const release_share& released)
    {
        leave_line(now, i, released.gang);
        const auto found = held_.find({released.gang, i});
        if (found != held_.end()) {
            engines_[i].reserve(-found->second);
            held_.erase(found);
        }
    }

private:
    /// Refuses a share, and queues the gang if only other prompts block it and no other gang is queued there.
    auto refuse(instant now, std::size_t i, const reserve_share& wanted) -> share_refused
    {
        auto& line = lines_[i];
        const bool others_turn = line && line->first != wanted.gang && line->second > now;
        const bool in_line = !one_queue_ && !others_turn && engines_[i].gang_room() >= wanted.tokens;
        if (in_line) {
            line = {wanted.gang, now + wanted.hold};
            engines_[i].keep_out_bulk(now + wanted.hold);
        }
        return {wanted.gang, wanted.upstream, 100ms, in_line};
    }

    void leave_line(instant now, std::size_t i, const gang_key& gang)
    {
        auto& line = lines_[i];
        if (line && line->first == gang) {
            line.reset();
            engines_[i].keep_out_bulk(now);
        }
    }

    std::vector<engine>& engines_;
    std::map<std::pair<gang_key, std::size_t>, token_count> held_;
    std::vector<std::optional<std::pair<gang_key, instant>>> lines_; // queued gang and its limit
    bool one_queue_;
};

} // namespace dragonflymill::rig
