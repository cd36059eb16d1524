#pragma once

#include "dragonflymill/core/error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill::http {

/// Cuts a stream of server-sent events into the payloads of their `data:` lines. Comments and other fields
/// are left out. An event over the limit is an error, so that a faulty peer can't make us hold unbounded
/// text.
class sse_parser
{
public:
    /// `max_event_bytes` bounds one event.
    explicit sse_parser(std::size_t max_event_bytes)
        : max_event_bytes_(max_event_bytes)
    {
    }

    /// Takes the next bytes of the stream; gives the payloads of the events that are complete with them.
    [[nodiscard]] auto feed(std::string_view bytes) -> result<std::vector<std::string>>;

private:
    void take_line(std::string_view line, std::vector<std::string>& complete);

    std::size_t max_event_bytes_;
    std::string line_;
    std::string data_;
    bool has_data_ = false;
};

} // namespace dragonflymill::http
