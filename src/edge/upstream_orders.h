#pragma once

#include "dragonflymill/core/time.h"
#include "edge/header_names.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dragonflymill::edge {

/// Reserves KV cache at an engine under a name, or extends the reservation of that name.
struct reserve_order
{
    std::string address;     ///< Address of the engine.
    std::string reservation; ///< Name of the reservation.
    std::int64_t tokens = 0; ///< KV cache to reserve, in tokens.
    duration hold{};         ///< Length of the lease, from the order's arrival.

    friend auto operator==(const reserve_order&, const reserve_order&) -> bool = default;
};

/// Releases the reservation of a name at an engine.
struct release_order
{
    std::string address;     ///< Address of the engine.
    std::string reservation; ///< Name of the reservation.

    friend auto operator==(const release_order&, const release_order&) -> bool = default;
};

/// Encoders of orders to engines; a deployment's adapter provides them.
struct upstream_orders
{
    std::function<std::string(const reserve_order&)> reserve; ///< Complete HTTP request.
    std::function<std::string(const release_order&)> release; ///< Complete HTTP request.
    std::function<std::string(const std::vector<prefill_engine_reference>&)>
        encode_prefill_engines; ///< Value of the header field `prefill_engines`.
};

} // namespace dragonflymill::edge
