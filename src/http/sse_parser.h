#pragma once

#include "dragonflymill/core/error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::http {

/// Incremental parser of server-sent events that extracts the `data:` payloads; comments and other fields are
/// ignored. An event over the size limit is an error, which bounds the memory that a faulty peer can use.
class sse_parser
{
public:
    /// `max_event_bytes` is the maximum size of one event.
    explicit sse_parser(std::size_t max_event_bytes)
        : max_event_bytes_(max_event_bytes)
    {
    }

    /// Parses the next bytes of the stream and returns the payloads of the events they complete. Fails with
    /// `limit_reached` if an event is too large.
    [[nodiscard]] auto feed(std::string_view bytes) -> result<std::vector<std::string>>;

private:
    void take_line(std::string_view line, std::vector<std::string>& complete);

    std::size_t max_event_bytes_;
    std::string line_;
    std::string data_;
    bool has_data_ = false;
};

} // namespace dragonflymill::http
