#include "dragonflymill/quarantine/part_quarantine.h"
#include "edge/caller_request.h"
#include "edge/peer_codec.h"

#include <criterion/criterion.h>
#include <limits>

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
    message.slowdowns = {{7, 4.25, 250ms}, {8, 1.0, 9s}};
    message.evidence = {{{9, 3s, false, {{{1, 2}, 250ms}, {{3}, 0s}}}, {10, 0s, true, {}}}, {{2, 40ms}}};
    const direct::peer_datagram datagram{"10.0.0.2:7340", true, {message}};
    cr_assert(decode_datagram(encode_datagram(datagram)) == datagram);
    cr_assert(!decode_datagram("garbage"));
    cr_assert(!decode_datagram(""));
}

// Guards against engines that are avoided, or a gateway that crashes, for a damaged or senseless digest.
Test(peer_codec, malformed_slowdowns_do_no_harm)
{
    direct::peer_message message;
    message.digest.gateway = "g#1";
    message.slowdowns = {{1, std::numeric_limits<double>::quiet_NaN(), 1ms}, {2, -5.0, -1s}, {3, 1e300, 0ms}};
    const std::string bytes = encode_datagram({"", false, {message}});
    const auto decoded = decode_datagram(bytes);
    const std::vector<direct::slowdown_report> expected = {{1, 1.0, 1ms}, {2, 1.0, 0ms}, {3, 100.0, 0ms}};
    cr_assert(decoded && decoded->messages.front().slowdowns == expected);
    // The slowdowns are the last field.
    const std::size_t first =
        encode_datagram({"", false, {direct::peer_message{message.digest, {}, {}, {}}}}).size();
    for (std::size_t at = first; at < bytes.size(); ++at) {
        for (unsigned change = 1; change < 256; ++change) {
            std::string damaged = bytes;
            damaged[at] = static_cast<char>(static_cast<unsigned char>(damaged[at]) ^ change);
            const auto read = decode_datagram(damaged);
            direct::upstream_speeds speeds;
            const instant now(100s);
            for (const auto& report : read ? read->messages.front().slowdowns : expected) {
                (void)speeds.apply_report("g#1", report, now);
                const double slowdown = speeds.slowdown(report.upstream, now);
                cr_assert(slowdown >= 1.0 && slowdown <= direct::upstream_speeds::max_slowdown);
            }
        }
    }
}

// Guards against parts that are blamed, or a gateway that crashes, for a damaged digest.
Test(peer_codec, malformed_evidence_does_no_harm)
{
    direct::peer_message message;
    message.digest.gateway = "g#1";
    message.evidence = {{{9, 3s, false, {{{7, 2}, 250ms}}}}, {{2, 40ms}}};
    const std::string bytes = encode_datagram({"", false, {message}});
    const auto decoded = decode_datagram(bytes);
    cr_assert(decoded &&
              decoded->messages.front().evidence.crashes[0].calls[0] == (reported_call{{2, 7}, 250ms}));
    const instant now(1h);
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        for (unsigned change = 1; change < 256; ++change) {
            std::string damaged = bytes;
            damaged[at] = static_cast<char>(static_cast<unsigned char>(damaged[at]) ^ change);
            const auto read = decode_datagram(damaged);
            part_quarantine quarantine;
            quarantine.evidence().apply(read ? read->messages.front().evidence : evidence_report{},
                                        report_origin::same_cell, now);
            quarantine.tick(now);
            cr_assert(quarantine.quarantines().empty(), "one crash is no reason");
        }
    }
}

Test(peer_codec, records_survive_a_round_trip)
{
    const direct::records_update update{
        {{"k", std::string("\0\xff", 2), 3, false}, {"gone", "", 4, true}}, 4, true};
    cr_assert(decode_records_update(encode_records_update(update)) == update);
    cr_assert(!decode_records_update("\xff\xff"));
}
