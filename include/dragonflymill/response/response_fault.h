#pragma once

namespace dragonflymill::response {

/// Why bytes that an upstream sent aren't forwarded as its response.
enum class response_fault
{
    none,             ///< Nothing is known against them.
    malformed_http,   ///< No valid HTTP/1.1 head or chunks.
    foreign_response, ///< The response states that it answers another request.
    unnamed_request,  ///< The response doesn't name the request that it answers, or names several.
    missing_seal,     ///< A success without the mark that upstreams put on their responses.
    encoded,          ///< A success with a content coding that the request doesn't accept.
    not_a_stream,     ///< A success other than the labelled event stream that is due.
    malformed_line,   ///< A line of an event stream that is no field of an event.
    second_response,  ///< The head of another response inside a body.
    missing_id,       ///< An event without an id.
    missing_data,     ///< An event without data.
    invalid_id,       ///< An event whose id is no number, or that has two ids.
    descending_id,    ///< An event whose id isn't above the one before it in the same response.
    oversized_event,  ///< An event over the size limit.
    no_event,         ///< More bytes without an event than an event may have.
    truncated,        ///< The body ends inside an event, or before the first one that is due.
};

/// Name as written to logs.
[[nodiscard]] auto to_string(response_fault fault) -> const char*;

} // namespace dragonflymill::response
