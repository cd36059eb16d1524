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

// The network cuts a stream anywhere. Wherever it is cut, the same whole events come out.
Test(event_relay, events_come_out_whole_wherever_they_are_cut)
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

// An engine dies in the middle of an event and another one goes on. The caller must see each event once and
// none made of two halves, wherever the first engine stopped.
Test(event_relay, a_resumed_stream_has_no_hole_and_no_repeat)
{
    const std::string stream = events(1, 6);
    for (std::size_t death = 0; death <= stream.size(); ++death) {
        event_relay relay;
        std::string out = relay.take(stream.substr(0, death)).bytes;
        const int last = relay.last_id().empty() ? 0 : std::stoi(relay.last_id());
        relay.begin_attempt();
        // The second engine starts one event too early, as one that rounds down would.
        out += relay.take(events(std::max(last, 1), 6)).bytes;
        cr_assert(out == stream, "died at %zu", death);
    }
}

Test(event_relay, a_part_of_an_event_is_never_passed_on)
{
    event_relay relay;
    const auto relayed = relay.take(event(1) + "id: 2\ndata: half");
    cr_assert(relayed.bytes == event(1));
    cr_assert(relay.has_partial_event());
}

Test(event_relay, a_caller_that_comes_back_gets_what_follows)
{
    event_relay relay("3");
    const auto relayed = relay.take(events(2, 5));
    cr_assert(relayed.bytes == events(4, 5));
    cr_assert(relayed.dropped == 2);
}

Test(event_relay, an_endless_event_is_a_fault)
{
    event_relay relay;
    const auto relayed = relay.take("data: " + std::string(event_relay::max_event_bytes, 'x'));
    cr_assert(relayed.broken);
}

Test(event_relay, lines_that_end_with_carriage_returns_are_events_too)
{
    event_relay relay;
    const std::string stream = "id: 1\r\ndata: a\r\n\r\n";
    cr_assert(relay.take(stream).bytes == stream);
    cr_assert(relay.last_id() == "1");
    cr_assert(!event_id("data: no id\n\n"));
}
