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

// What was read must be written the same way again: two spellings of one thing would have two digests.
void check_bundle_round_trip(const std::string& text)
{
    const auto reading = read_bundle_source(text);
    if (reading.mistakes.empty()) {
        const auto again = decode_bundle(encode_bundle(reading.value));
        DRAGONFLYMILL_ASSERT(again.has_value() && again.value() == reading.value, "a bundle reads back");
    }
}

void check_manifest(const std::string& text)
{
    const auto read = decode_signed_manifest(text);
    if (read.has_value()) {
        DRAGONFLYMILL_ASSERT(encode_signed_manifest(read.value()) == text, "a manifest reads back");
        DRAGONFLYMILL_ASSERT(verify_manifest(read.value(), test_partners('x', 'y')).has_error(),
                             "nothing is forged");
    }
}

// A process that knows the key may still send anything: no content may break an invariant.
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
                                     "one frame");
            }
        }
    }
}

} // namespace

// The first byte chooses the decoder.
// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls
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
