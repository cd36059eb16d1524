#include "dragonflymill/core/error.h"

namespace dragonflymill {

auto to_string(error_kind kind) -> const char*
{
    switch (kind) {
    case error_kind::invalid_input:
        return "invalid_input";
    case error_kind::not_found:
        return "not_found";
    case error_kind::conflict:
        return "conflict";
    case error_kind::unauthorized:
        return "unauthorized";
    case error_kind::limit_reached:
        return "limit_reached";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::timed_out:
        return "timed_out";
    case error_kind::corrupt:
        return "corrupt";
    case error_kind::internal:
        return "internal";
    }
    return "internal";
}

auto error::text() const -> std::string
{
    return std::string(to_string(kind_)) + ": " + message_ + " (" + remedy_ + ")";
}

} // namespace dragonflymill
