#include "dragonflymill/response/response_fault.h"

namespace dragonflymill::response {

auto to_string(response_fault fault) -> const char*
{
    switch (fault) {
    case response_fault::none:
        return "none";
    case response_fault::malformed_http:
        return "malformed_http";
    case response_fault::foreign_response:
        return "foreign_response";
    case response_fault::unnamed_request:
        return "unnamed_request";
    case response_fault::missing_seal:
        return "missing_seal";
    case response_fault::encoded:
        return "encoded";
    case response_fault::not_a_stream:
        return "not_a_stream";
    case response_fault::malformed_line:
        return "malformed_line";
    case response_fault::second_response:
        return "second_response";
    case response_fault::missing_id:
        return "missing_id";
    case response_fault::missing_data:
        return "missing_data";
    case response_fault::invalid_id:
        return "invalid_id";
    case response_fault::descending_id:
        return "descending_id";
    case response_fault::oversized_event:
        return "oversized_event";
    case response_fault::no_event:
        return "no_event";
    case response_fault::truncated:
        return "truncated";
    }
    return "none";
}

} // namespace dragonflymill::response
