#include "control/drain_request.h"

namespace dragonflymill::control {

namespace {

constexpr std::uint64_t microseconds_per_millisecond = 1'000;
constexpr std::uint64_t max_clock_difference_ms = 60'000;

auto sealed_text(const sealed_drain& word) -> std::string
{
    const auto* domain = std::get_if<failure_domain_id>(&word.subject);
    const auto subject = domain != nullptr ? "failure_domain " + domain->text()
                                           : "host " + std::get<host_id>(word.subject).text();
    return "drain\n" + subject + "\n" + (word.back ? "back" : "out") + "\n" + std::to_string(word.time_ms);
}

auto milliseconds(wall_instant now) -> std::uint64_t
{
    return static_cast<std::uint64_t>(now.time_since_epoch().count()) / microseconds_per_millisecond;
}

} // namespace

auto seal_drain(const datagram_seal& seal, const drain_subject& subject, bool back, wall_instant now)
    -> sealed_drain
{
    sealed_drain word{subject, back, milliseconds(now), {}};
    word.seal = seal.seal(sealed_text(word)).substr(0, datagram_seal::size);
    return word;
}

auto check_drain(const datagram_seal& seal, const sealed_drain& word, wall_instant now,
                 std::uint64_t last_time_ms) -> result<void>
{
    const auto opened = seal.open(word.seal + sealed_text(word));
    if (word.seal.size() != datagram_seal::size || opened.has_error()) {
        return error(error_kind::unauthorized, "the request is not sealed with the fleet's key",
                     "name the key file that the processes use");
    }
    const auto here = milliseconds(now);
    const auto difference = here > word.time_ms ? here - word.time_ms : word.time_ms - here;
    if (difference > max_clock_difference_ms || word.time_ms <= last_time_ms) {
        return error(error_kind::unauthorized, "the request is old, or clocks differ by over a minute",
                     "send it again, or set the clocks right");
    }
    return success();
}

} // namespace dragonflymill::control
