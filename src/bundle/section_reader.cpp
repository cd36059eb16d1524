#include "section_reader.h"

#include "dragonflymill/core/units.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>

namespace dragonflymill {

namespace {

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_port_digits = 5;
constexpr std::int64_t max_port = 65'535;

auto is_name_character(char c) -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '-' || c == '_';
}

auto is_hex_digit(char c) -> bool
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

auto is_ip_number(const std::string& text) -> bool
{
    std::array<unsigned char, sizeof(in6_addr)> number{};
    if (text.size() > 2 && text.front() == '[' && text.back() == ']') {
        return inet_pton(AF_INET6, text.substr(1, text.size() - 2).c_str(), number.data()) == 1;
    }
    return inet_pton(AF_INET, text.c_str(), number.data()) == 1;
}

} // namespace

section_reader::section_reader(const ini_section& section, std::vector<source_mistake>& mistakes)
    : section_(section)
    , mistakes_(mistakes)
{
}

void section_reader::add(std::size_t line, std::string_view key, std::string problem, std::string remedy)
{
    if (mistakes_.size() >= max_source_mistakes) {
        return;
    }
    auto subject = section_title(section_.kind, section_.name);
    if (!key.empty()) {
        subject += " " + std::string(key);
    }
    mistakes_.push_back({line, std::move(subject), std::move(problem), std::move(remedy)});
}

auto section_reader::find(std::string_view key, bool required) -> const ini_entry*
{
    known_.emplace(key);
    const auto found = std::find_if(section_.entries.begin(), section_.entries.end(),
                                    [key](const ini_entry& entry) { return entry.key == key; });
    if (found != section_.entries.end()) {
        return &*found;
    }
    if (required) {
        add(section_.line, key, "is missing", "add " + std::string(key) + " = ...");
    }
    return nullptr;
}

auto section_reader::split(const ini_entry& entry) -> std::vector<std::string>
{
    std::vector<std::string> words;
    std::string_view rest = entry.value;
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        auto word = parse_name(trim(rest.substr(0, comma)));
        if (word.has_error()) {
            add(entry.line, entry.key, word.error().message(), word.error().remedy());
        }
        else if (std::find(words.begin(), words.end(), word.value()) != words.end()) {
            add(entry.line, entry.key, "'" + word.value() + "' stands twice", "keep one of the two");
        }
        else {
            words.push_back(std::move(word).value());
        }
        rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
    }
    return words;
}

auto section_reader::known_text() const -> std::string
{
    std::string text;
    for (const auto& key : known_) {
        text += (text.empty() ? "" : ", ") + key;
    }
    return text;
}

void section_reader::finish()
{
    std::set<std::string, std::less<>> seen;
    for (const auto& entry : section_.entries) {
        if (!known_.contains(entry.key)) {
            add(entry.line, entry.key, "is not a key of this section", "use one of " + known_text());
        }
        else if (!seen.insert(entry.key).second) {
            add(entry.line, entry.key, "is given twice", "keep one of the two");
        }
    }
}

auto parse_name(std::string_view text) -> result<std::string>
{
    const bool valid_size = !text.empty() && text.size() <= max_name_bytes;
    if (!valid_size || !std::all_of(text.begin(), text.end(), is_name_character)) {
        return error(error_kind::invalid_input,
                     "'" + std::string(text.substr(0, max_name_bytes)) + "' is not a name",
                     "use 1 to 64 letters, digits, dots, dashes and underscores");
    }
    return std::string(text);
}

auto parse_hex(std::string_view text, std::size_t size) -> result<std::string>
{
    if (text.size() != 2 * size || !std::all_of(text.begin(), text.end(), is_hex_digit)) {
        return error(error_kind::invalid_input, "is not " + std::to_string(size) + " bytes in hexadecimal",
                     "write " + std::to_string(2 * size) + " of 0-9 and a-f");
    }
    return std::string(text);
}

auto parse_address(std::string_view text) -> result<std::string>
{
    const auto colon = text.rfind(':');
    const auto port_text = colon == std::string_view::npos ? "" : text.substr(colon + 1);
    const auto port = parse_count(port_text.substr(0, max_port_digits + 1));
    const bool port_ok = port.has_value() && port.value() > 0 && port.value() <= max_port;
    if (!port_ok || !is_ip_number(std::string(text.substr(0, colon)))) {
        return error(error_kind::invalid_input, "'" + std::string(text) + "' is not an IP number and port",
                     "write it as in 10.0.0.7:7101 or [fd00::7]:7101");
    }
    return std::string(text);
}

auto section_title(std::string_view kind, std::string_view name) -> std::string
{
    return std::string(kind) + (name.empty() ? "" : " " + std::string(name));
}

} // namespace dragonflymill
