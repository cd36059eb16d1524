#include "log/event_catalogue.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace dragonflymill {

namespace {

auto expected_docs_row(const event_entry& entry) -> std::string
{
    const std::string remedy = entry.remedy[0] == '\0' ? "-" : entry.remedy;
    return "| " + std::to_string(entry.number()) + " | `" + entry.name + "` | " + to_string(entry.level) +
           " | " + entry.text + " | " + remedy + " |";
}

} // namespace

Test(event_catalogue, numbers_increase_and_stay_in_range)
{
    int last = 0;
    for (const event_entry& entry : event_catalogue()) {
        cr_assert(entry.number() > last, "%s: numbers must increase", entry.name);
        cr_assert(entry.number() >= 1000 && entry.number() < 5000, "%s: number out of range", entry.name);
        last = entry.number();
    }
}

Test(event_catalogue, errors_have_a_remedy)
{
    for (const event_entry& entry : event_catalogue()) {
        const bool has_remedy = entry.remedy[0] != '\0';
        cr_assert(entry.level != log_level::error || has_remedy, "%s: an error needs a remedy", entry.name);
    }
}

// Guards against catalogue entries that no code logs, which operators would alert on in vain.
Test(event_catalogue, every_event_is_used_in_the_source)
{
    const std::regex use("event::([a-z_0-9]+)");
    std::set<std::string> used;
    const std::filesystem::path folder(DRAGONFLYMILL_SOURCE_DIR "/src");
    for (const auto& file : std::filesystem::recursive_directory_iterator(folder)) {
        if (!file.is_regular_file()) {
            continue;
        }
        std::ifstream in(file.path());
        const std::string text(std::istreambuf_iterator<char>(in), {});
        for (std::sregex_iterator found(text.begin(), text.end(), use), end; found != end; ++found) {
            used.insert((*found)[1]);
        }
    }
    for (const event_entry& entry : event_catalogue()) {
        cr_assert(used.count(entry.name) == 1, "%s is in the catalogue, but nothing logs it", entry.name);
    }
}

Test(event_catalogue, docs_list_the_same_events)
{
    std::ifstream docs(DRAGONFLYMILL_SOURCE_DIR "/docs/events.md");
    cr_assert(docs.good(), "docs/events.md must be readable");
    std::string line;
    std::size_t next = 0;
    const auto entries = event_catalogue();
    while (std::getline(docs, line)) {
        if (line.size() < 3 || line[0] != '|' || line[2] < '0' || line[2] > '9') {
            continue;
        }
        cr_assert(next < entries.size(), "docs/events.md has a row without an event: %s", line.c_str());
        const std::string expected = expected_docs_row(entries[next]);
        cr_assert(line == expected, "docs/events.md has '%s', expected '%s'", line.c_str(), expected.c_str());
        ++next;
    }
    cr_assert(next == entries.size(), "docs/events.md lacks %s",
              next < entries.size() ? expected_docs_row(entries[next]).c_str() : "");
}

} // namespace dragonflymill
