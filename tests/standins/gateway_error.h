#pragma once

#include "dragonflymill/core/time.h"

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

namespace dragonflymill::standins {

/// An error as a gateway tells it to its caller.
struct gateway_error
{
    std::string code;       ///< "transport" if no gateway said anything.
    bool ran_no = false;    ///< Whether it says that the request was not run.
    duration retry_after{}; ///< When to come again.

    /// One line for the report.
    [[nodiscard]] auto text() const -> std::string
    {
        return code + (ran_no ? ", not run" : ", may have run");
    }
};

/// Reads `{"error":{"code","ran","retry_after_ms"}}`.
[[nodiscard]] auto error_of(const boost::json::object& body) -> gateway_error;
/// Reads an answer's body; an unreadable one is an error without a promise.
[[nodiscard]] auto error_of(unsigned status, std::string_view body, const std::string& failure)
    -> gateway_error;

} // namespace dragonflymill::standins
