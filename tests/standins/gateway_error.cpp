#include "standins/gateway_error.h"

#include "standins/json_fields.h"

namespace dragonflymill::standins {

auto error_of(const boost::json::object& body) -> gateway_error
{
    const auto* detail = body.if_contains("error");
    if (detail == nullptr || !detail->is_object()) {
        return {"unreadable error", false, {}};
    }
    const auto& object = detail->get_object();
    return {text_field(object, "code"), text_field(object, "ran") == "no",
            std::chrono::milliseconds(number_field(object, "retry_after_ms"))};
}

auto error_of(unsigned status, std::string_view body, const std::string& failure) -> gateway_error
{
    if (status == 0) {
        // The connection was not established, so no byte of the request was sent.
        const bool not_sent = failure.rfind("connect", 0) == 0;
        return {"transport (" + failure + ")", not_sent, {}};
    }
    if (const auto object = parse_object(body)) {
        return error_of(*object);
    }
    return {"status " + std::to_string(status) + " " + failure, false, {}};
}

} // namespace dragonflymill::standins
