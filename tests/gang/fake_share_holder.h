#pragma once

#include "dragonflymill/gang/gang_messages.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>

namespace dragonflymill::test {

/// Answer of a share holder.
using share_answer = std::variant<share_granted, share_refused, share_released>;

/// Fake of the part of a sidecar that holds gang shares: it grants shares idempotently within its capacity
/// and expires those that are not renewed.
class fake_share_holder
{
public:
    /// Creates a holder with a capacity of `capacity` tokens.
    explicit fake_share_holder(token_count capacity)
        : capacity_(capacity)
    {
    }

    /// Reserves a share, or repeats the grant of one that is held.
    auto step(instant now, const reserve_share& wanted) -> share_answer
    {
        expire(now);
        const auto found = shares_.find(wanted.gang);
        const bool reserved_for_other = reservation_ && reservation_->gang != wanted.gang;
        if (found == shares_.end() && (reserved_for_other || used() + prompts_ + wanted.tokens > capacity_)) {
            // A share is queued only behind other prompts, which end soon; other gangs may run for long.
            const bool in_line = !reserved_for_other && used() + wanted.tokens <= capacity_;
            if (in_line) {
                reservation_ = reservation{wanted.gang, now + wanted.hold};
            }
            return share_refused{wanted.gang, wanted.upstream, duration::zero(), in_line};
        }
        if (found == shares_.end()) {
            reservation_.reset();
            shares_[wanted.gang] = {lease_id(++last_lease_), wanted.tokens, now + wanted.hold};
        }
        return share_granted{wanted.gang, wanted.upstream, shares_[wanted.gang].lease, wanted.ask};
    }

    /// Renews a share that is held.
    auto step(instant now, const renew_share& wanted) -> share_answer
    {
        expire(now);
        const auto found = shares_.find(wanted.gang);
        if (found == shares_.end() || found->second.lease != wanted.lease) {
            return share_refused{wanted.gang, wanted.upstream, duration::zero(), false};
        }
        found->second.ends_at = now + wanted.hold;
        return share_granted{wanted.gang, wanted.upstream, wanted.lease, wanted.ask};
    }

    /// Releases a share, if it is held.
    auto step(instant /*now*/, const release_share& wanted) -> share_answer
    {
        shares_.erase(wanted.gang);
        if (reservation_ && reservation_->gang == wanted.gang) {
            reservation_.reset();
        }
        return share_released{wanted.gang, wanted.upstream};
    }

    /// Drops the shares that were not renewed in time.
    void expire(instant now)
    {
        std::erase_if(shares_, [now](const auto& each) { return each.second.ends_at <= now; });
        if (reservation_ && reservation_->ends_at <= now) {
            reservation_.reset();
        }
    }

    /// Drops all shares, as a restart of the engine does.
    void restart()
    {
        shares_.clear();
        reservation_.reset();
    }

    /// Sets the memory used by other prompts; it doesn't grow while a gang share is queued.
    void set_prompt_memory(token_count tokens)
    {
        prompts_ = reservation_ ? std::min(prompts_, tokens) : tokens;
    }

    /// Returns the tokens held for gangs.
    [[nodiscard]] auto used() const -> token_count
    {
        token_count sum = 0;
        for (const auto& [key, each] : shares_) {
            sum += each.tokens;
        }
        return sum;
    }

    /// Returns whether a share of this round is held under this lease.
    [[nodiscard]] auto holds(const gang_key& key, lease_id lease) const -> bool
    {
        const auto found = shares_.find(key);
        return found != shares_.end() && found->second.lease == lease;
    }

    /// Returns the tokens that gangs may use.
    [[nodiscard]] auto capacity() const -> token_count { return capacity_; }

private:
    struct share
    {
        lease_id lease;
        token_count tokens = 0;
        instant ends_at;
    };

    struct reservation
    {
        gang_key gang;
        instant ends_at;
    };

    token_count capacity_;
    token_count prompts_ = 0;
    std::optional<reservation> reservation_;
    std::uint64_t last_lease_ = 0;
    std::map<gang_key, share> shares_;
};

} // namespace dragonflymill::test
