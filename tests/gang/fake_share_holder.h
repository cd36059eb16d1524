#pragma once

#include "dragonflymill/gang/gang_messages.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>

namespace dragonflymill::test {

/// What a share holder answers.
using share_answer = std::variant<share_granted, share_refused, share_released>;

/// The part of a sidecar that holds gang shares: it grants within its capacity, idempotently, and ends what
/// is not renewed.
class fake_share_holder
{
public:
    /// Holds at most `capacity` tokens for gangs.
    explicit fake_share_holder(token_count capacity)
        : capacity_(capacity)
    {
    }

    /// Reserves, or repeats the grant of a share that stands.
    auto step(instant now, const reserve_share& wanted) -> share_answer
    {
        expire(now);
        const auto found = shares_.find(wanted.gang);
        const bool others_turn = line_ && line_->gang != wanted.gang;
        if (found == shares_.end() && (others_turn || used() + prompts_ + wanted.tokens > capacity_)) {
            // A line is for what is about to end; gangs in the way may stay for long.
            const bool in_line = !others_turn && used() + wanted.tokens <= capacity_;
            if (in_line) {
                line_ = place_in_line{wanted.gang, now + wanted.hold};
            }
            return share_refused{wanted.gang, wanted.upstream, duration::zero(), in_line};
        }
        if (found == shares_.end()) {
            line_.reset();
            shares_[wanted.gang] = {lease_id(++last_lease_), wanted.tokens, now + wanted.hold};
        }
        return share_granted{wanted.gang, wanted.upstream, shares_[wanted.gang].lease, wanted.ask};
    }

    /// Renews a share that stands.
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

    /// Ends a share, if it is there.
    auto step(instant /*now*/, const release_share& wanted) -> share_answer
    {
        shares_.erase(wanted.gang);
        if (line_ && line_->gang == wanted.gang) {
            line_.reset();
        }
        return share_released{wanted.gang, wanted.upstream};
    }

    /// Ends what was not renewed in time.
    void expire(instant now)
    {
        std::erase_if(shares_, [now](const auto& each) { return each.second.ends_at <= now; });
        if (line_ && line_->ends_at <= now) {
            line_.reset();
        }
    }

    /// Loses everything: the engine died and came back.
    void restart()
    {
        shares_.clear();
        line_.reset();
    }

    /// Other prompts take so much memory; none begin while a gang waits in line.
    void hold_prompts(token_count tokens) { prompts_ = line_ ? std::min(prompts_, tokens) : tokens; }

    /// Tokens held for gangs.
    [[nodiscard]] auto used() const -> token_count
    {
        token_count sum = 0;
        for (const auto& [key, each] : shares_) {
            sum += each.tokens;
        }
        return sum;
    }

    /// Whether a share of this round stands under this lease.
    [[nodiscard]] auto holds(const gang_key& key, lease_id lease) const -> bool
    {
        const auto found = shares_.find(key);
        return found != shares_.end() && found->second.lease == lease;
    }

    /// Tokens that gangs may take.
    [[nodiscard]] auto capacity() const -> token_count { return capacity_; }

private:
    struct share
    {
        lease_id lease;
        token_count tokens = 0;
        instant ends_at;
    };

    struct place_in_line
    {
        gang_key gang;
        instant ends_at;
    };

    token_count capacity_;
    token_count prompts_ = 0;
    std::optional<place_in_line> line_;
    std::uint64_t last_lease_ = 0;
    std::map<gang_key, share> shares_;
};

} // namespace dragonflymill::test
