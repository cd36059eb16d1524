#pragma once

#include "dragonflymill/gang/gang_messages.h"

#include <optional>
#include <span>
#include <vector>

namespace dragonflymill {

/// A share that a gang wants.
struct wanted_share
{
    upstream_id upstream;   ///< Where.
    token_count tokens = 0; ///< How much.

    friend auto operator==(const wanted_share&, const wanted_share&) -> bool = default;
};

/// What a share may take of an upstream.
enum class share_basis
{
    free,     ///< What is free now.
    capacity, ///< What gangs may have in all: it has to wait in line for a part of it.
};

/// The fewest shares that hold the request, of nearly equal size, in the global order: by name of upstream.
/// They are taken from one failure domain if one has room, since a gang is lost with any of its members'
/// domains. Nothing if the room does not suffice.
[[nodiscard]] auto plan_shares(const gang_request& request, std::span<const gang_candidate> candidates,
                               share_basis basis = share_basis::free)
    -> std::optional<std::vector<wanted_share>>;

/// Whether the candidates could hold the request if nothing else were there.
[[nodiscard]] auto could_ever_hold(const gang_request& request, std::span<const gang_candidate> candidates)
    -> bool;

/// The prompt's spans on these shares. The last share, where decoding happens, also has room for the answer.
[[nodiscard]] auto spans_on(const gang_request& request, std::span<const wanted_share> shares)
    -> std::vector<kv_span>;

} // namespace dragonflymill
