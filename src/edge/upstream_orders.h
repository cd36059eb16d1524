#pragma once

#include "dragonflymill/core/time.h"
#include "edge/header_names.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dragonflymill::edge {

/// Engine memory to be set aside under a name, or for longer if the name is known there.
struct reserve_order
{
    std::string address;     ///< Engine.
    std::string reservation; ///< Name.
    std::int64_t tokens = 0; ///< How much.
    duration hold{};         ///< For how long from its arrival.

    friend auto operator==(const reserve_order&, const reserve_order&) -> bool = default;
};

/// Engine memory that is no longer needed.
struct release_order
{
    std::string address;     ///< Engine.
    std::string reservation; ///< Name.

    friend auto operator==(const release_order&, const release_order&) -> bool = default;
};

/// How orders to engines are written; the adapter of a deployment provides it.
struct upstream_orders
{
    std::function<std::string(const reserve_order&)> reserve;                      ///< A whole request.
    std::function<std::string(const release_order&)> release;                      ///< A whole request.
    std::function<std::string(const std::vector<helper_reference>&)> list_helpers; ///< A field's value.
};

} // namespace dragonflymill::edge
