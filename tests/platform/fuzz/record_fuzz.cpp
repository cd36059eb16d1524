#include "dragonflymill/core/assert.h"
#include "dragonflymill/response/response_guard.h"
#include "platform/record_decoder.h"
#include "platform/upstream_entry_decoder.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace dragonflymill;

namespace {

void check_entry(const std::string& text)
{
    const direct::decoded_record decoded = platform::decode_record({"servers/i", text, 1, false});
    if (const auto* entry = std::get_if<direct::upstream_entry>(&decoded)) {
        DRAGONFLYMILL_ASSERT(entry->slots >= 1 && entry->slots <= platform::max_slots &&
                                 entry->cold_remaining >= duration::zero() &&
                                 entry->cold_remaining <= platform::max_cold_time,
                             "a usable entry must be within its bounds");
    }
}

void check_page(const std::string& text)
{
    const auto page = platform::decode_page(text);
    if (!page) {
        return;
    }
    for (const direct::fleet_record& record : page->records) {
        static_cast<void>(platform::decode_record(record));
    }
}

// A stream must be forwarded alike however it is split, and nothing after a fault.
void check_stream(const std::string& text)
{
    const auto forwarded = [&](std::size_t step) {
        response::response_guard guard({"r", "Id", true, false, "", {}});
        guard.begin_attempt();
        static_cast<void>(guard.take_head({200, true, response::body_framing::chunks, true, false, "r"}));
        std::string bytes;
        for (std::size_t at = 0; at < text.size(); at += step) {
            bytes += guard.take_body(std::string_view(text).substr(at, step)).bytes;
        }
        return bytes;
    };
    const std::string whole = forwarded(text.size() + 1);
    DRAGONFLYMILL_ASSERT(whole == forwarded(1) && whole == forwarded(7), "a split must not change a stream");
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
    switch (data[0] % 4) {
    case 0:
        check_entry(text);
        break;
    case 1:
        check_page(text);
        break;
    case 2:
        static_cast<void>(platform::decode_record({"op/config", text, 1, false}));
        break;
    default:
        check_stream(text);
        break;
    }
    return 0;
}
