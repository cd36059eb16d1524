#include "dragonflymill/direct/event_relay.h"

#include <criterion/criterion.h>
#include <string>

using namespace dragonflymill::direct;

namespace {

auto event(int id) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
}

auto events(int first, int last) -> std::string
{
    std::string all;
    for (int id = first; id <= last; ++id) {
        all += event(id);
    }
    return all;
}

} // namespace

// The network may split a stream at any byte; the relay must output the same complete events.
Test(event_relay, outputs_complete_events_for_any_split_of_the_stream)
{
    const std::string stream = events(1, 4);
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        event_relay relay;
        std::string out = relay.take(stream.substr(0, cut)).bytes;
        cr_assert(out.size() <= cut);
        out += relay.take(stream.substr(cut)).bytes;
        cr_assert(out == stream, "cut at %zu", cut);
        cr_assert(!relay.has_partial_event());
        cr_assert(relay.last_id() == "4");
    }
}

// Guards against gaps, duplicates and events merged from two engines: the first engine crashes at any byte of
// the stream and another one resumes it.
Test(event_relay, resumes_a_stream_without_gap_or_duplicate)
{
    const std::string stream = events(1, 6);
    for (std::size_t death = 0; death <= stream.size(); ++death) {
        event_relay relay;
        std::string out = relay.take(stream.substr(0, death)).bytes;
        const int last = relay.last_id().empty() ? 0 : std::stoi(relay.last_id());
        relay.begin_attempt();
        // The second engine starts one event too early.
        out += relay.take(events(std::max(last, 1), 6)).bytes;
        cr_assert(out == stream, "died at %zu", death);
    }
}

Test(event_relay, does_not_forward_an_incomplete_event)
{
    event_relay relay;
    const auto relayed = relay.take(event(1) + "id: 2\ndata: half");
    cr_assert(relayed.bytes == event(1));
    cr_assert(relay.has_partial_event());
}

Test(event_relay, forwards_only_events_after_the_last_id_of_a_reconnecting_caller)
{
    event_relay relay("3");
    const auto relayed = relay.take(events(2, 5));
    cr_assert(relayed.bytes == events(4, 5));
    cr_assert(relayed.dropped == 2);
}

Test(event_relay, reports_an_oversized_event_as_broken)
{
    event_relay relay;
    const auto relayed = relay.take("data: " + std::string(event_relay::max_event_bytes, 'x'));
    cr_assert(relayed.broken);
}

Test(event_relay, accepts_lines_that_end_with_a_carriage_return)
{
    event_relay relay;
    const std::string stream = "id: 1\r\ndata: a\r\n\r\n";
    cr_assert(relay.take(stream).bytes == stream);
    cr_assert(relay.last_id() == "1");
    cr_assert(!event_id("data: no id\n\n"));
}
