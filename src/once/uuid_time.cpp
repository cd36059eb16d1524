#include "dragonflymill/once/uuid_time.h"

#include <cstdint>

namespace dragonflymill {
namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t time_digits = 12;

auto digit_of(char c) -> int
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

auto is_dash_position(std::size_t position) -> bool
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

} // namespace

auto uuid_v7_time(std::string_view text) -> std::optional<wall_instant>
{
    if (text.size() != uuid_length || text[version_position] != '7') {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    std::size_t digits = 0;
    for (std::size_t i = 0; i < uuid_length; ++i) {
        if (is_dash_position(i)) {
            if (text[i] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const int digit = digit_of(text[i]);
        if (digit < 0) {
            return std::nullopt;
        }
        if (digits < time_digits) {
            milliseconds = milliseconds * 16 + digit;
        }
        ++digits;
    }
    return wall_instant(std::chrono::milliseconds(milliseconds));
}

} // namespace dragonflymill
