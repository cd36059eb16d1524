#include "bundle/signing.h"
#include "control/datagram_codec.h"
#include "control/platform_reader.h"
#include "dragonflymill/bundle/bundle_codec.h"
#include "dragonflymill/bundle/bundle_source.h"
#include "dragonflymill/core/assert.h"
#include "dragonflymill/membership/membership.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace dragonflymill;

namespace {

// Decoding and encoding must round-trip: two encodings of the same bundle would have different digests.
void check_bundle_round_trip(const std::string& text)
{
    const auto parsed = read_bundle_source(text);
    if (parsed.mistakes.empty()) {
        const auto again = decode_bundle(encode_bundle(parsed.value));
        DRAGONFLYMILL_ASSERT(again.has_value() && again.value() == parsed.value,
                             "a bundle must round-trip through its encoding");
    }
}

void check_manifest(const std::string& text)
{
    const auto read = decode_signed_manifest(text);
    if (read.has_value()) {
        DRAGONFLYMILL_ASSERT(encode_signed_manifest(read.value()) == text,
                             "a manifest must round-trip through its encoding");
        DRAGONFLYMILL_ASSERT(verify_manifest(read.value(), test_partners('x', 'y')).has_error(),
                             "a fuzzed manifest must not pass verification");
    }
}

// A peer with the key may still send arbitrary content, which must not violate an invariant.
void check_datagram(const std::string& bytes)
{
    const auto read = decode_datagram(bytes);
    if (read.has_error()) {
        return;
    }
    membership_settings settings;
    settings.self.id = process_id("self");
    settings.self.gossip_address = "a";
    membership member(settings, 1, instant{});
    static_cast<void>(member.receive(instant{} + 1s, read.value(), "b"));
    static_cast<void>(member.receive(instant{} + 2s, read.value(), "b"));
    for (int second = 3; second < 20; ++second) {
        for (const auto& output : member.tick(instant{} + 1s * second)) {
            if (const auto* sent = std::get_if<send_datagram>(&output)) {
                DRAGONFLYMILL_ASSERT(encode_datagram(sent->message).size() <= max_datagram_bytes,
                                     "a sent datagram must fit into one frame");
            }
        }
    }
}

} // namespace

// The first byte of the input selects the decoder.
// NOLINTNEXTLINE(readability-identifier-naming): name required by libFuzzer
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int
{
    if (size == 0) {
        return 0;
    }
    const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
    switch (data[0] % 3) {
    case 0:
        check_bundle_round_trip(text);
        break;
    case 1:
        check_manifest(text);
        break;
    default:
        check_datagram(text);
        break;
    }
    return 0;
}
