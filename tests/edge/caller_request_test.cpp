#include "edge/caller_request.h"
#include "edge/peer_codec.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

auto request(std::vector<header_field> fields) -> caller_request
{
    caller_request result{"POST", "/a/b?c=d", std::move(fields), "", true, false};
    result.fields.push_back({"Host", "h.example"});
    return result;
}

} // namespace

// Guards against request smuggling: if two parsers see the end of a body at different positions, the upstream
// runs a request hidden in it that no caller sent.
Test(caller_request, rejects_ambiguous_framing)
{
    cr_assert(has_unambiguous_framing(request({})));
    cr_assert(has_unambiguous_framing(request({{"Content-Length", "3"}})));
    cr_assert(has_unambiguous_framing(request({{"Transfer-Encoding", "Chunked"}})));
    cr_assert(!has_unambiguous_framing(request({{"Content-Length", "3"}, {"content-length", "3"}})));
    cr_assert(!has_unambiguous_framing(request({{"Content-Length", "3"}, {"Transfer-Encoding", "chunked"}})));
    cr_assert(!has_unambiguous_framing(request({{"Transfer-Encoding", "gzip, chunked"}})));
    cr_assert(!has_unambiguous_framing(
        request({{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}})));
    cr_assert(!has_unambiguous_framing(request({{"Host", "other.example"}})));
}

Test(caller_request, recognizes_hop_by_hop_fields)
{
    cr_assert(is_hop_by_hop("KEEP-ALIVE", ""));
    cr_assert(is_hop_by_hop("Transfer-Encoding", ""));
    cr_assert(is_hop_by_hop("X-Hop", "close, x-hop"));
    cr_assert(!is_hop_by_hop("X-Hop", "close"));
    cr_assert(!is_hop_by_hop("Accept", ""));
}

Test(caller_request, path_excludes_the_query)
{
    cr_assert(request({}).path() == "/a/b");
    cr_assert(request({{"X", "1"}, {"x", "2"}}).count_of("X") == 2);
    cr_assert(request({{"X", "1"}}).value_of("x") == "1");
}

Test(peer_codec, datagram_survives_a_round_trip)
{
    direct::peer_message message;
    message.digest = {"g#1", 7,  "10.0.0.1:7340", 42,   true, true, {"10.0.0.2:7340"},
                      "a",   90, false,           true, false};
    message.report = {"g#1", 7, false, {{99, direct::upstream_load{1, 2, 1, 3, 4000, 5ms, 1, 200ms}}}};
    message.rate_limits = {{5, 0.25, 3s, true, 12}, {6, std::nullopt, 1s, false, 0}};
    const direct::peer_datagram datagram{"10.0.0.2:7340", true, {message}};
    cr_assert(decode_datagram(encode_datagram(datagram)) == datagram);
    cr_assert(!decode_datagram("garbage"));
    cr_assert(!decode_datagram(""));
}

Test(peer_codec, records_survive_a_round_trip)
{
    const direct::records_update update{
        {{"k", std::string("\0\xff", 2), 3, false}, {"gone", "", 4, true}}, 4, true};
    cr_assert(decode_records_update(encode_records_update(update)) == update);
    cr_assert(!decode_records_update("\xff\xff"));
}
