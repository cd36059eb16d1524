#pragma once

#include "dragonflymill/gang/gang_messages.h"

#include <optional>
#include <span>
#include <vector>

namespace dragonflymill {

/// A planned share of a gang.
struct planned_share
{
    upstream_id upstream;   ///< Upstream of the share.
    token_count tokens = 0; ///< Size of the share in tokens.

    friend auto operator==(const planned_share&, const planned_share&) -> bool = default;
};

/// Memory of an upstream that a share is planned on.
enum class share_basis
{
    free,     ///< Memory that is free now.
    capacity, ///< All memory that gangs may use: the share may have to be queued for a part of it.
};

/// Returns the fewest shares that hold the request, of nearly equal size and in the global order, by upstream
/// id. All are in one failure domain if one has the capacity, since a gang is lost with the domain of any
/// member. Returns nothing if the capacity does not suffice.
[[nodiscard]] auto plan_shares(const gang_request& request, std::span<const gang_candidate> candidates,
                               share_basis basis = share_basis::free)
    -> std::optional<std::vector<planned_share>>;

/// Returns whether the candidates could hold the request if all their capacity were free.
[[nodiscard]] auto fits_when_idle(const gang_request& request, std::span<const gang_candidate> candidates)
    -> bool;

/// Returns the prompt's spans on these shares. The last share, at the decode engine, also includes the
/// answer.
[[nodiscard]] auto assign_spans(const gang_request& request, std::span<const planned_share> shares)
    -> std::vector<kv_span>;

} // namespace dragonflymill
