#include "http/sse_parser.h"

#include <criterion/criterion.h>

using dragonflymill::http::sse_parser;

Test(sse_parser, reassembles_events_split_at_any_byte)
{
    const std::string stream = ": comment\ndata: one\n\nevent: x\r\ndata: two\r\ndata: lines\r\n\r\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        sse_parser parser(1'000);
        auto events = parser.feed(std::string_view(stream).substr(0, cut)).value();
        const auto rest = parser.feed(std::string_view(stream).substr(cut)).value();
        events.insert(events.end(), rest.begin(), rest.end());
        cr_assert(events.size() == 2);
        cr_assert(events[0] == "one");
        cr_assert(events[1] == "two\nlines");
    }
}

Test(sse_parser, rejects_an_event_over_the_size_limit)
{
    sse_parser parser(16);
    cr_assert(parser.feed("data: 0123456789abcdef").has_error());
}
