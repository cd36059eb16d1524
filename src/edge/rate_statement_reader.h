#pragma once

#include "dragonflymill/limit/rate_limit_beliefs.h"
#include "edge/response_parser.h"

#include <functional>

namespace dragonflymill::edge {

/// Decodes what a response says about its upstream's rate limit; a deployment's adapter provides it.
using rate_statement_reader = std::function<rate_statement(const response_head&)>;

/// For deployments whose upstreams state no limits.
[[nodiscard]] inline auto no_rate_statement(const response_head& /*head*/) -> rate_statement
{
    return {};
}

} // namespace dragonflymill::edge
