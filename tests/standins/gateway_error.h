#pragma once

#include "dragonflymill/core/time.h"

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

namespace dragonflymill::standins {

/// An error that a caller receives from a gateway.
struct gateway_error
{
    std::string code;       ///< Error code; starts with "transport" if no gateway answered.
    bool ran_no = false;    ///< Whether the request is known not to have run.
    duration retry_after{}; ///< Delay before a retry; zero if none was given.

    /// Description for the report.
    [[nodiscard]] auto text() const -> std::string
    {
        return code + (ran_no ? ", not run" : ", may have run");
    }
};

/// Parses `{"error":{"code","ran","retry_after_ms"}}`.
[[nodiscard]] auto error_of(const boost::json::object& body) -> gateway_error;
/// The error of a response that isn't a success. If the body isn't a JSON object, the request may have run.
[[nodiscard]] auto error_of(unsigned status, std::string_view body, const std::string& failure)
    -> gateway_error;

} // namespace dragonflymill::standins
