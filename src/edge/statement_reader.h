#pragma once

#include "dragonflymill/direct/upstream_statements.h"
#include "http/response_parser.h"

#include <functional>

namespace dragonflymill::edge {

/// Decodes what a response states about its upstream; a deployment's adapter provides it.
using statement_reader = std::function<direct::upstream_statement(const http::response_head&)>;

/// For deployments whose upstreams state nothing.
[[nodiscard]] inline auto no_statement(const http::response_head& /*head*/) -> direct::upstream_statement
{
    return {};
}

} // namespace dragonflymill::edge
