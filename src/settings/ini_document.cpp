#include "settings/ini_document.h"

#include "dragonflymill/core/units.h"

#include <algorithm>

namespace dragonflymill {

namespace {

/// Reads one line after the other into a document.
class ini_line_reader
{
public:
    explicit ini_line_reader(const std::string& file)
        : file_(file)
    {
    }

    void read(std::string_view line)
    {
        ++line_;
        const std::string_view text = trim(line);
        if (text.empty() || text.front() == '#' || text.front() == ';') {
            return;
        }
        if (text.front() == '[') {
            read_section(text);
            return;
        }
        read_entry(text);
    }

    [[nodiscard]] auto take() && -> ini_document { return std::move(document_); }

private:
    void read_section(std::string_view text)
    {
        if (text.back() != ']' || text.size() < 3) {
            add_mistake("", "'" + std::string(text) + "' is not a section",
                        "write [name] on a line of its own");
            return;
        }
        section_ = std::string(trim(text.substr(1, text.size() - 2)));
        document_.sections.push_back({section_, line_});
    }

    void read_entry(std::string_view text)
    {
        const std::size_t equals = text.find('=');
        const std::string key(trim(text.substr(0, equals)));
        if (equals == std::string_view::npos || key.empty()) {
            add_mistake("", "'" + std::string(text) + "' is neither a section, a key nor a comment",
                        "write key = value, or begin a comment with #");
            return;
        }
        if (section_.empty()) {
            add_mistake(key, "the key stands before any section", "put it below its [section]");
            return;
        }
        const auto earlier =
            std::find_if(document_.entries.begin(), document_.entries.end(),
                         [&](const ini_entry& e) { return e.section == section_ && e.key == key; });
        if (earlier != document_.entries.end()) {
            add_mistake(key, "the key was already set in line " + std::to_string(earlier->line),
                        "leave one of the two");
            return;
        }
        document_.entries.push_back({section_, key, std::string(trim(text.substr(equals + 1))), line_});
    }

    void add_mistake(std::string key, std::string message, std::string remedy)
    {
        document_.mistakes.push_back(
            {file_, line_, section_, std::move(key), std::move(message), "", std::move(remedy)});
    }

    const std::string& file_;
    ini_document document_;
    std::string section_;
    int line_ = 0;
};

} // namespace

auto parse_ini(std::string_view text, const std::string& file) -> ini_document
{
    ini_line_reader reader(file);
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        reader.read(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return std::move(reader).take();
}

} // namespace dragonflymill
