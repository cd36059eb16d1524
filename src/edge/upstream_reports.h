#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflymill::edge {

/// What an upstream reports about itself when it is asked.
struct upstream_report
{
    std::optional<double> slowdown; ///< Factor by which it runs slower than its profile; nothing: not stated.

    friend auto operator==(const upstream_report&, const upstream_report&) -> bool = default;
};

/// Asks upstreams for reports and decodes these; a deployment's adapter provides it. Without a request, as
/// for deployments whose upstreams publish no reports, none is asked.
struct report_reader
{
    /// Complete HTTP request to the upstream at an address.
    std::function<std::string(const std::string& address)> request;
    /// Decodes the body of a response; nothing if it is no report.
    std::function<std::optional<upstream_report>(std::string_view body)> decode;
};

} // namespace dragonflymill::edge
