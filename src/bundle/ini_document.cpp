#include "dragonflymill/bundle/ini_document.h"

#include "dragonflymill/core/units.h"

namespace dragonflymill {

namespace {

void add_mistake(ini_document& document, source_mistake mistake)
{
    if (document.mistakes.size() < max_source_mistakes) {
        document.mistakes.push_back(std::move(mistake));
    }
}

void read_header(ini_document& document, std::string_view text, std::size_t line)
{
    if (text.back() != ']') {
        add_mistake(document, {line, std::string(text), "section header without ]", "write [kind name]"});
        return;
    }
    const auto words = trim(text.substr(1, text.size() - 2));
    const auto blank = words.find(' ');
    const auto kind = words.substr(0, blank);
    const auto name = blank == std::string_view::npos ? std::string_view{} : trim(words.substr(blank));
    document.sections.push_back({std::string(kind), std::string(name), line, {}});
}

void read_entry(ini_document& document, std::string_view text, std::size_t line)
{
    const auto equals = text.find('=');
    if (equals == std::string_view::npos) {
        add_mistake(document, {line, std::string(text.substr(0, 40)), "neither section, entry nor comment",
                               "write key = value, or # before a comment"});
        return;
    }
    if (document.sections.empty()) {
        add_mistake(document, {line, std::string(trim(text.substr(0, equals))), "entry before any section",
                               "put it below a section header such as [bundle]"});
        return;
    }
    document.sections.back().entries.push_back(
        {std::string(trim(text.substr(0, equals))), std::string(trim(text.substr(equals + 1))), line});
}

void read_line(ini_document& document, std::string_view raw, std::size_t line)
{
    const auto text = trim(raw);
    if (text.empty() || text.front() == '#' || text.front() == ';') {
        return;
    }
    if (text.size() > max_ini_line) {
        add_mistake(document, {line, "", "line longer than 65,536 bytes", "split the list over upstreams"});
        return;
    }
    if (text.front() == '[') {
        read_header(document, text, line);
    }
    else {
        read_entry(document, text, line);
    }
}

} // namespace

auto source_mistake::text() const -> std::string
{
    const auto where = line == 0 ? std::string() : "line " + std::to_string(line) + ": ";
    const auto what = subject.empty() ? std::string() : subject + ": ";
    return where + what + problem + "; " + remedy;
}

auto read_ini(std::string_view text) -> ini_document
{
    ini_document document;
    std::size_t line = 0;
    while (!text.empty()) {
        const auto end = text.find('\n');
        ++line;
        read_line(document, text.substr(0, end), line);
        if (document.sections.size() > max_ini_sections) {
            add_mistake(document, {line, "", "more than 20,000 sections", "remove unused entries"});
            break;
        }
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return document;
}

} // namespace dragonflymill
