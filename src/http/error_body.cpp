#include "http/error_body.h"

#include <utility>

namespace dragonflymill::http {

auto error_body(std::string_view code, ran_state ran, duration retry_after, std::string_view remedy)
    -> boost::json::object
{
    boost::json::object detail;
    detail["code"] = code;
    detail["ran"] = to_string(ran);
    detail["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
    detail["remedy"] = remedy;
    boost::json::object body;
    body["error"] = std::move(detail);
    return body;
}

} // namespace dragonflymill::http
