#include "settings/settings_schema.h"

#include "dragonflymill/bundle/digest.h"
#include "dragonflymill/core/units.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace dragonflymill {

struct settings_schema::value_kind
{
    std::string type;
    std::string allowed;
    std::string default_text;
};

namespace {

constexpr std::size_t max_name_length = 64;
constexpr std::size_t public_key_bytes = 32;

struct byte_unit
{
    const char* suffix;
    std::uint64_t factor;
};

constexpr std::array<byte_unit, 3> byte_units{{{"GiB", 1U << 30U}, {"MiB", 1U << 20U}, {"KiB", 1U << 10U}}};

auto size_text(std::uint64_t value) -> std::string
{
    for (const auto& [suffix, factor] : byte_units) {
        if (value != 0 && value % factor == 0) {
            return std::to_string(value / factor) + suffix;
        }
    }
    return std::to_string(value);
}

auto rate_text(double value) -> std::string
{
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value);
    return std::string(text.data(), end.ptr) + "/s";
}

auto range_text(const std::string& low, const std::string& high) -> std::string
{
    return "from " + low + " to " + high;
}

auto out_of_range(std::string_view text, const std::string& allowed) -> error
{
    return {error_kind::invalid_input, "'" + std::string(text) + "' is out of range",
            "write a value " + allowed};
}

/// Stores a parsed value if it is within its range; otherwise fails and leaves `target` unchanged.
template <typename Parsed, typename T>
auto store_in_range(std::string_view text, const result<Parsed>& parsed, setting_range<T> range,
                    const std::string& allowed, T& target) -> result<void>
{
    if (parsed.has_error()) {
        return parsed.error();
    }
    const T value = static_cast<T>(parsed.value());
    if (value < range.low || value > range.high) {
        return out_of_range(text, allowed);
    }
    target = value;
    return success();
}

auto is_valid_name(std::string_view text) -> bool
{
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                      c == '-' || c == '_' || c == '.';
           });
}

/// Splits a comma-separated list and trims blanks from its elements.
auto split_list(std::string_view text) -> std::vector<std::string_view>
{
    std::vector<std::string_view> list;
    while (!trim(text).empty()) {
        const std::size_t end = std::min(text.find(','), text.size());
        list.push_back(trim(text.substr(0, end)));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return list;
}

auto too_many_elements(std::size_t most) -> error
{
    return {error_kind::invalid_input, "there are too many elements",
            "leave at most " + std::to_string(most)};
}

auto parse_partner(std::string_view text) -> result<partner_entry>
{
    const std::size_t colon = std::min(text.find(':'), text.size());
    const std::string_view name = trim(text.substr(0, colon));
    const std::string key(trim(text.substr(std::min(colon + 1, text.size()))));
    if (!is_valid_name(name) || key.size() != 2 * public_key_bytes || from_hex(key).has_error()) {
        return error(error_kind::invalid_input,
                     "'" + std::string(text) + "' is not a partner with a public key",
                     "write name:key as `dragonflymill bundle key` prints it");
    }
    return partner_entry{std::string(name), key};
}

auto join(const std::vector<std::string>& texts) -> std::string
{
    std::string all;
    for (const std::string& text : texts) {
        all += (all.empty() ? "" : ", ") + text;
    }
    return all;
}

} // namespace

void settings_schema::add(const setting_name& name, value_kind kind, presence needed, assign_function assign)
{
    specs_.push_back({name.section, name.key, name.help, std::move(kind.type), std::move(kind.allowed),
                      needed == presence::required ? "" : std::move(kind.default_text), needed,
                      std::move(assign)});
}

void settings_schema::text(const setting_name& name, std::string& target, presence needed)
{
    add(name, {"text", "any text", target}, needed, [&target](std::string_view text) -> result<void> {
        target = std::string(text);
        return success();
    });
}

void settings_schema::name_into(const setting_name& where, presence needed,
                                std::function<void(std::string)> store)
{
    add(where, {"name", "letters, digits, '-', '_' and '.', at most 64", ""}, needed,
        [store = std::move(store)](std::string_view text) -> result<void> {
            if (!is_valid_name(text)) {
                return error(error_kind::invalid_input, "'" + std::string(text) + "' is not a name",
                             "use a short name such as gw-1");
            }
            store(std::string(text));
            return success();
        });
}

void settings_schema::path(const setting_name& name, std::string& target, presence needed)
{
    add(name, {"path", "path of a file", target}, needed, [&target](std::string_view text) -> result<void> {
        target = std::string(text);
        return success();
    });
}

void settings_schema::partner_list(const setting_name& name, std::vector<partner_entry>& target,
                                   std::size_t most)
{
    const std::string allowed =
        "name:key with the public key's 64 hexadecimal digits, separated by commas, at most " +
        std::to_string(most);
    add(name, {"partners", allowed, ""}, presence::optional,
        [&target, most](std::string_view text) -> result<void> {
            const auto list = split_list(text);
            if (list.size() > most) {
                return too_many_elements(most);
            }
            std::vector<partner_entry> partners;
            partners.reserve(list.size());
            for (const std::string_view element : list) {
                auto parsed = parse_partner(element);
                if (parsed.has_error()) {
                    return std::move(parsed).error();
                }
                partners.push_back(std::move(parsed).value());
            }
            target = std::move(partners);
            return success();
        });
}

void settings_schema::flag(const setting_name& name, bool& target)
{
    add(name, {"yes or no", "yes or no", target ? "yes" : "no"}, presence::optional,
        [&target](std::string_view text) -> result<void> {
            const auto parsed = parse_yes_no(text);
            if (parsed.has_error()) {
                return parsed.error();
            }
            target = parsed.value();
            return success();
        });
}

void settings_schema::count(const setting_name& name, std::uint64_t& target,
                            setting_range<std::uint64_t> range)
{
    const std::string allowed = range_text(std::to_string(range.low), std::to_string(range.high));
    add(name, {"whole number", allowed, std::to_string(target)}, presence::optional,
        [&target, range, allowed](std::string_view text) {
            return store_in_range(text, parse_count(text), range, allowed, target);
        });
}

void settings_schema::time(const setting_name& name, duration& target, setting_range<duration> range)
{
    const std::string allowed = range_text(to_text(range.low), to_text(range.high));
    add(name, {"time", allowed, to_text(target)}, presence::optional,
        [&target, range, allowed](std::string_view text) {
            return store_in_range(text, parse_duration(text), range, allowed, target);
        });
}

void settings_schema::size(const setting_name& name, std::uint64_t& target,
                           setting_range<std::uint64_t> range)
{
    const std::string allowed = range_text(size_text(range.low), size_text(range.high));
    add(name, {"size", allowed, size_text(target)}, presence::optional,
        [&target, range, allowed](std::string_view text) {
            return store_in_range(text, parse_bytes(text), range, allowed, target);
        });
}

void settings_schema::rate(const setting_name& name, double& target, setting_range<double> range)
{
    const std::string allowed = range_text(rate_text(range.low), rate_text(range.high));
    add(name, {"rate", allowed, rate_text(target)}, presence::optional,
        [&target, range, allowed](std::string_view text) {
            return store_in_range(text, parse_rate(text), range, allowed, target);
        });
}

void settings_schema::address(const setting_name& name, socket_address& target, presence needed)
{
    add(name, {"address", "an IP number with a port", to_text(target)}, needed,
        [&target](std::string_view text) -> result<void> {
            auto parsed = parse_socket_address(text);
            if (parsed.has_error()) {
                return std::move(parsed).error();
            }
            target = parsed.value();
            return success();
        });
}

void settings_schema::address_list(const setting_name& name, std::vector<socket_address>& target,
                                   std::size_t most)
{
    std::vector<std::string> default_addresses;
    default_addresses.reserve(target.size());
    for (const socket_address& address : target) {
        default_addresses.push_back(to_text(address));
    }
    const std::string allowed = "IP numbers with ports, separated by commas, at most " + std::to_string(most);
    add(name, {"addresses", allowed, join(default_addresses)}, presence::optional,
        [&target, most](std::string_view text) -> result<void> {
            const auto list = split_list(text);
            if (list.size() > most) {
                return too_many_elements(most);
            }
            std::vector<socket_address> addresses;
            addresses.reserve(list.size());
            for (const std::string_view element : list) {
                auto parsed = parse_socket_address(element);
                if (parsed.has_error()) {
                    return std::move(parsed).error();
                }
                addresses.push_back(std::move(parsed).value());
            }
            target = std::move(addresses);
            return success();
        });
}

void settings_schema::add_choice(const setting_name& name, std::vector<std::string> names,
                                 const std::string& standing, std::function<void(std::size_t)> store)
{
    const std::string allowed = join(names);
    add(name, {"choice", allowed, standing}, presence::optional,
        [names = std::move(names), store = std::move(store), allowed](std::string_view text) -> result<void> {
            const auto found = std::find(names.begin(), names.end(), text);
            if (found == names.end()) {
                return error(error_kind::invalid_input, "'" + std::string(text) + "' is none of the choices",
                             "write one of " + allowed);
            }
            store(static_cast<std::size_t>(found - names.begin()));
            return success();
        });
}

void settings_schema::rule(setting_rule checked)
{
    rules_.push_back(std::move(checked));
}

} // namespace dragonflymill
