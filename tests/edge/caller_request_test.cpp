#include "edge/caller_request.h"
#include "edge/peer_codec.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

auto request(std::vector<header_field> fields) -> caller_request
{
    caller_request made{"POST", "/a/b?c=d", std::move(fields), "", true, false};
    made.fields.push_back({"Host", "h.example"});
    return made;
}

} // namespace

// A second request is hidden in the body of a first one whose end two readers see at different places. The
// upstream would run a request that no caller sent.
Test(caller_request, framing_that_can_be_read_in_two_ways_is_refused)
{
    cr_assert(framing_is_clear(request({})));
    cr_assert(framing_is_clear(request({{"Content-Length", "3"}})));
    cr_assert(framing_is_clear(request({{"Transfer-Encoding", "Chunked"}})));
    cr_assert(!framing_is_clear(request({{"Content-Length", "3"}, {"content-length", "3"}})));
    cr_assert(!framing_is_clear(request({{"Content-Length", "3"}, {"Transfer-Encoding", "chunked"}})));
    cr_assert(!framing_is_clear(request({{"Transfer-Encoding", "gzip, chunked"}})));
    cr_assert(
        !framing_is_clear(request({{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}})));
    cr_assert(!framing_is_clear(request({{"Host", "other.example"}})));
}

Test(caller_request, fields_of_one_connection_are_not_passed_on)
{
    cr_assert(concerns_connection("KEEP-ALIVE", ""));
    cr_assert(concerns_connection("Transfer-Encoding", ""));
    cr_assert(concerns_connection("X-Hop", "close, x-hop"));
    cr_assert(!concerns_connection("X-Hop", "close"));
    cr_assert(!concerns_connection("Accept", ""));
}

Test(caller_request, the_path_ends_before_the_query)
{
    cr_assert(request({}).path() == "/a/b");
    cr_assert(request({{"X", "1"}, {"x", "2"}}).count_of("X") == 2);
    cr_assert(request({{"X", "1"}}).value_of("x") == "1");
}

Test(peer_codec, a_datagram_comes_back_as_it_was)
{
    direct::peer_message message;
    message.digest = {"g#1", 7,  "10.0.0.1:7340", 42,   true, true, {"10.0.0.2:7340"},
                      "a",   90, false,           true, false};
    message.report = {"g#1", 7, false, {{99, direct::upstream_load{1, 2, 1, 3, 4000, 5ms, 1, 200ms}}}};
    const direct::peer_datagram datagram{"10.0.0.2:7340", true, {message}};
    cr_assert(decode_datagram(encode_datagram(datagram)) == datagram);
    cr_assert(!decode_datagram("garbage"));
    cr_assert(!decode_datagram(""));
}

Test(peer_codec, records_come_back_as_they_were)
{
    const direct::records_update extract{
        {{"k", std::string("\0\xff", 2), 3, false}, {"gone", "", 4, true}}, 4, true};
    cr_assert(decode_extract(encode_extract(extract)) == extract);
    cr_assert(!decode_extract("\xff\xff"));
}
