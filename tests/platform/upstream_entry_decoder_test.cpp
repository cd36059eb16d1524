#include "platform/upstream_entry_decoder.h"

#include <criterion/criterion.h>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace dragonflymill;
using namespace dragonflymill::direct;
using namespace dragonflymill::platform;

namespace {

using entry_fields = std::map<std::string, std::string>;

/// Fields of a valid entry, as JSON.
auto valid_fields() -> entry_fields
{
    return {
        {"service", R"("s")"}, {"address", R"("10.0.0.9:8080")"}, {"zone", R"("z")"},  {"version", R"("v1")"},
        {"slots", "16"},       {"state", R"("ready")"},           {"coldLeftMs", "0"}, {"sequence", "4"},
        {"born", "7"}};
}

auto to_json(const entry_fields& fields) -> std::string
{
    std::string text = "{";
    for (const auto& [name, value] : fields) {
        text.append(text.size() > 1 ? ",\"" : "\"").append(name).append("\":").append(value);
    }
    return text + "}";
}

auto is_usable(const std::string& json, const std::string& id = "i-1") -> bool
{
    return std::holds_alternative<upstream_entry>(decode_upstream_entry(id, json));
}

auto with(const std::string& name, const std::string& value) -> std::string
{
    entry_fields fields = valid_fields();
    fields[name] = value;
    return to_json(fields);
}

auto nested(std::size_t levels) -> std::string
{
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

// Guards against an entry of another writer, used as a replica though a field is missing, odd or out of
// bounds.
Test(upstream_entry_decoder, an_entry_with_an_odd_field_names_no_replica)
{
    const std::map<std::string, std::vector<std::string>> odd = {
        {"service", {"3", "null", R"("")", "[]"}},
        {"address",
         {"8080", R"("")", R"("nowhere")", R"("10.0.0.9")", R"("10.0.0.9:0")", R"("10.0.0.9:65536")",
          R"("10.0.0.9:-1")", R"("10.0.0.9:99999999999999999999")", R"("host:80")"}},
        {"zone", {"1", "null", R"("")", "{}"}},
        {"version", {"1", "null", R"("")", "[]"}},
        {"slots",
         {"0", "-1", R"("16")", "1.5", "1000001", "2147483648", "4294967296", "18446744073709551615", "1e300",
          "1e999", "null"}},
        {"state", {R"("sleeping")", R"("")", "1", "true"}},
        {"coldLeftMs", {"-1", R"("5")", "86400001", "1e300", "-1e300", "1e999", "null"}},
        {"sequence", {"-1", R"("4")", "1.5", "9223372036854775808", "1e300"}},
        {"born", {"-1", R"("7")", "1.5", "null", "1e300", "18446744073709551615"}},
    };
    cr_assert(is_usable(to_json(valid_fields())));
    for (const auto& [name, values] : odd) {
        for (const std::string& value : values) {
            cr_assert(!is_usable(with(name, value)), "%s is %s", name.c_str(), value.c_str());
        }
        cr_assert(!is_usable(with(name, nested(20))) && !is_usable(with(name, nested(100'000))));
        entry_fields fields = valid_fields();
        fields.erase(name);
        cr_assert(is_usable(to_json(fields)) == (name == "born"), "without %s", name.c_str());
    }
}

Test(upstream_entry_decoder, values_at_their_bounds_are_usable)
{
    for (const auto& [name, value] :
         std::vector<std::pair<std::string, std::string>>{{"slots", "1"},
                                                          {"slots", "1000000"},
                                                          {"coldLeftMs", "86400000"},
                                                          {"coldLeftMs", "0.5"},
                                                          {"sequence", "0"},
                                                          {"born", "0"},
                                                          {"address", R"("[::1]:1")"},
                                                          {"address", R"("10.0.0.9:65535")"}}) {
        cr_assert(is_usable(with(name, value)), "%s is %s", name.c_str(), value.c_str());
    }
    cr_assert(is_usable(with("others", R"([{"a":{"b":null}}])")), "other fields are ignored");
    const auto cold = std::get<upstream_entry>(decode_upstream_entry("i", with("coldLeftMs", "86400000")));
    cr_assert(cold.cold_remaining == max_cold_time);
}

// Guards against header fields that an id smuggles into requests.
Test(upstream_entry_decoder, an_odd_id_names_no_replica)
{
    for (const char* id : {"", "a b", "a\r\nX: y", "a\x01", "\xc3\xa9", "a\x7f"}) {
        cr_assert(!is_usable(to_json(valid_fields()), id), "%s", id);
    }
}

// Guards against an end of the process by an entry that nobody thought of; what is usable is within its
// bounds.
Test(upstream_entry_decoder, any_bytes_are_decoded_or_unusable)
{
    std::mt19937_64 random(55); // NOLINT(cert-msc51-cpp): the same bytes in each run
    const std::string tokens = "{}[]\",:0123456789.eE+-truefalsn\\\x01\xff";
    for (int round = 0; round < 20'000; ++round) {
        std::string json = to_json(valid_fields());
        const auto changes = 1 + random() % 4;
        for (std::uint64_t change = 0; change < changes; ++change) {
            const std::size_t at = random() % json.size();
            const std::size_t length = random() % 4;
            json.replace(at, std::min(length, json.size() - at),
                         std::string(random() % 3, tokens[random() % tokens.size()]));
            json += json.empty() ? "{" : "";
        }
        const decoded_record decoded = decode_upstream_entry("i", json);
        if (const auto* entry = std::get_if<upstream_entry>(&decoded)) {
            cr_assert(entry->slots >= 1 && entry->slots <= max_slots && entry->started_ms >= 0, "%s",
                      json.c_str());
            cr_assert(entry->cold_remaining >= duration::zero() && entry->cold_remaining <= max_cold_time,
                      "%s", json.c_str());
            cr_assert(!entry->service.empty() && !entry->failure_domain.empty(), "%s", json.c_str());
        }
    }
}
